package brookpath.testing.fleet;

import brookpath.testing.oracle.History;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Keys whose removal was confirmed to an operator: from a while after that on, nothing may work with them. */
final class RemovedKeys {
    private static final long GRACE_MS = 5_000;

    private final History history;
    private final Map<String, Long> removedAt = new ConcurrentHashMap<>();

    RemovedKeys(final History history) {
        this.history = history;
    }

    void removed(final String key, final long now) {
        removedAt.putIfAbsent(key, now);
    }

    /** A change is on its way that gives the key back, whether its operator hears of it or not. */
    void grantUnderWay(final String key) {
        removedAt.remove(key);
    }

    /** Checks that a caller did something with the key. To be called with the history held. */
    void worked(final String key, final String did, final long now) {
        final Long at = removedAt.get(key);
        if (at != null && now > at + GRACE_MS) {
            history.violation(now, key + " " + did + " " + (now - at) + " ms after its removal was confirmed");
        }
    }
}
