package brookpath.coordination.node.gateway;

import brookpath.coordination.TimingBounds;
import java.util.List;

/**
 * Redirects callers that arrive before this gateway has its first lease on the configuration to another gateway. Only a
 * gateway whose start takes longer than a caller waits does so, and only to the seed gateways: those on the machines of
 * the controllers in its settings, which are the first to get a lease. Seed gateways redirect no callers before their
 * own first lease, so there is no redirect loop. Not thread-safe.
 */
public final class StartupRedirect {
    /** The CPU time from the start of the process to its first lease, in milliseconds. */
    private static final int START_CPU_MS = 150;

    /** The redirect of a gateway that redirects no callers. */
    public static final StartupRedirect NONE = new StartupRedirect(List.of());

    private final List<String> addresses;
    private int next;

    private StartupRedirect(final List<String> addresses) {
        this.addresses = List.copyOf(addresses);
    }

    /**
     * The redirect of a gateway.
     *
     * @param processors the number of processors that this process may use, as a fraction; 0 where it is unknown
     * @param seedGateways the public addresses of the seed gateways, host:port each
     * @param self the public address of this gateway
     */
    public static StartupRedirect of(
            final double processors, final List<String> seedGateways, final String self, final TimingBounds timing) {
        final boolean isSeed = seedGateways.contains(self);
        final boolean startsInTime = processors == 0 || START_CPU_MS / processors <= timing.callerWaitLimit();
        return isSeed || startsInTime ? NONE : new StartupRedirect(seedGateways);
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
