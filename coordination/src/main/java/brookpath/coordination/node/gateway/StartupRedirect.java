package brookpath.coordination.node.gateway;

import brookpath.coordination.TimingBounds;
import java.util.List;

/**
 * Names another gateway to callers that come before this one has its first lease on the configuration. Only a gateway
 * whose start takes longer than a caller waits does so, and only to gateways beside the controllers of its settings,
 * which are the first to get a lease. These redirect nobody before theirs, so there is no ring. Not thread-safe.
 */
public final class StartupRedirect {
    /** The processor time of a start, from the process to its first lease, as measured; in milliseconds. */
    private static final int START_PROCESSOR_MS = 150;

    /** A gateway that redirects nobody. */
    public static final StartupRedirect NONE = new StartupRedirect(List.of());

    private final List<String> addresses;
    private int next;

    private StartupRedirect(final List<String> addresses) {
        this.addresses = List.copyOf(addresses);
    }

    /**
     * The redirects of a gateway.
     *
     * @param processors how many processors' worth of time this process gets; 0 where that is unknown
     * @param seedGateways where callers reach the gateways beside the controllers of the settings, host:port each
     * @param self where callers reach this gateway
     */
    public static StartupRedirect of(
            final double processors, final List<String> seedGateways, final String self, final TimingBounds timing) {
        final boolean besideController = seedGateways.contains(self);
        final boolean startsInTime = processors == 0 || START_PROCESSOR_MS / processors <= timing.callerWaitLimit();
        return besideController || startsInTime ? NONE : new StartupRedirect(seedGateways);
    }

    /** Whether callers are redirected before the first lease. */
    public boolean isActive() {
        return !addresses.isEmpty();
    }

    /** The address for the next caller, in rotation. */
    public String nextAddress() {
        return addresses.get(Math.floorMod(next++, addresses.size()));
    }
}
