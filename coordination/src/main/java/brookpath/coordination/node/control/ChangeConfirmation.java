package brookpath.coordination.node.control;

import brookpath.coordination.TimingBounds;
import java.util.TreeMap;

/**
 * Decides when a committed configuration may be confirmed: once no process can act on an older one, because each has
 * either adopted it or lost its lease on the older one. Not thread-safe.
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

    /** Whether every live process has adopted the committed version, or its lease on an older one has expired. */
    boolean isAppliedEverywhere(final long version, final long now) {
        committedAt.putIfAbsent(version, now);
        final long leadingSince = leases.leadingSince();
        // A predecessor may have granted leases that this leader has not seen
        if (leadingSince < 0 || now - leadingSince <= timing.confirmWait()) {
            return false;
        }
        // A process that has not adopted the version by now cannot be reached, and its lease ends within leaseMs from
        // here
        final boolean allLeasesEnded =
                timing.leaseMs() > timing.changeMs() && now - committedAt.get(version) >= timing.confirmWait();
        return allLeasesEnded || leases.allHaveAdopted(version, now);
    }

    /** Records that the version has been confirmed, and with it all older ones. */
    void onConfirmed(final long version) {
        committedAt.headMap(version).clear();
    }

    /** Discards all state when the leadership ends; a successor rebuilds its own. */
    void clear() {
        committedAt.clear();
    }
}
