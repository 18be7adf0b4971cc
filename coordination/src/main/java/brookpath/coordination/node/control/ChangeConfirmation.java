package brookpath.coordination.node.control;

import brookpath.coordination.TimingBounds;
import java.util.TreeMap;

/**
 * Decides when a committed configuration may be confirmed: once no process can act on an older one any more. That is so
 * when each has taken it, or when the lease on what it had has run out. Not thread-safe.
 */
final class ChangeConfirmation {
    private final ConfigurationLeaseGranter leases;
    private final TimingBounds timing;
    /** When each version that is not confirmed yet was first seen committed, by the monotonic clock. */
    private final TreeMap<Long, Long> committedAt = new TreeMap<>();

    ChangeConfirmation(final ConfigurationLeaseGranter leases, final TimingBounds timing) {
        this.leases = leases;
        this.timing = timing;
    }

    /** Whether every live process has taken the committed version, or its lease on what was before has run out. */
    boolean isAppliedEverywhere(final long version, final long now) {
        committedAt.putIfAbsent(version, now);
        final long leadingSince = leases.leadingSince();
        // A predecessor may have granted leases that this leader has not seen
        if (leadingSince < 0 || now - leadingSince <= timing.confirmWait()) {
            return false;
        }
        // Who has not taken it by now cannot be reached, and its lease ends no later than leaseMs from here
        final boolean allLeasesEnded =
                timing.leaseMs() > timing.changeMs() && now - committedAt.get(version) >= timing.confirmWait();
        return allLeasesEnded || leases.allHave(version, now);
    }

    /** The version has been confirmed, so that nothing older needs to be. */
    void onConfirmed(final long version) {
        committedAt.headMap(version).clear();
    }

    /** Forgets everything: a successor learns it anew. */
    void clear() {
        committedAt.clear();
    }
}
