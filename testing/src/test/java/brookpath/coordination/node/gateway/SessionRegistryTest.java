package brookpath.coordination.node.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;

import java.util.List;
import org.testng.annotations.Test;

/** Guards against a memory leak: a fetch whose reply is no longer awaited must be removed from the registry. */
public final class SessionRegistryTest {
    private static final int FETCHES = 50;

    @Test
    public void repeatedFetchesBeyondTheLimitAreRemoved() {
        final SessionRegistry registry = new SessionRegistry(() -> 1);
        final Session session = new Session(1, "", false, Session.NEVER);
        final GroupSubscription subscription = new GroupSubscription(0, 0, 0, 0);
        registry.add(session);
        for (long fetchId = 1; fetchId <= FETCHES; fetchId++) {
            registry.catchUpSent(fetchId, session, subscription);
        }
        final List<Long> awaited = subscription.fetches.ids();
        for (long fetchId = 1; fetchId <= FETCHES; fetchId++) {
            if (awaited.contains(fetchId)) {
                assertNotNull(registry.catchUp(fetchId), "fetch " + fetchId);
            } else {
                assertNull(registry.catchUp(fetchId), "fetch " + fetchId);
            }
        }
        assertEquals(awaited.get(awaited.size() - 1).longValue(), FETCHES);
        registry.abandonCatchUp(subscription);
        awaited.forEach(fetchId -> assertNull(registry.catchUp(fetchId), "fetch " + fetchId));
    }
}
