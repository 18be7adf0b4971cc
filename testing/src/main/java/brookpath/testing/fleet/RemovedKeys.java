package brookpath.testing.fleet;

import brookpath.testing.oracle.History;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Keys whose removal was confirmed to an operator: after a grace period no request may succeed with them. */
final class RemovedKeys {
    private static final long GRACE_MS = 5_000;

    private final History history;
    private final Map<String, Long> removedAt = new ConcurrentHashMap<>();

    RemovedKeys(final History history) {
        this.history = history;
    }

    void removalConfirmed(final String key, final long now) {
        removedAt.putIfAbsent(key, now);
    }

    /** Records that a change granting the key again was submitted: it may take effect even if no response arrives. */
    void grantSubmitted(final String key) {
        removedAt.remove(key);
    }

    /** Checks that a caller may still have succeeded with the key. Call only with the monitor of the history held. */
    void verifyUse(final String key, final String action, final long now) {
        final Long at = removedAt.get(key);
        if (at != null && now > at + GRACE_MS) {
            history.violation(now, key + " " + action + " " + (now - at) + " ms after its removal was confirmed");
        }
    }
}
