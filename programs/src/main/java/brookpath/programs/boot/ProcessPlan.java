package brookpath.programs.boot;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.group.Member;
import brookpath.coordination.metadata.ClusterMetadata.NodeInfo;
import brookpath.coordination.node.control.GroupBootstrap;
import brookpath.coordination.node.gateway.SessionOverflow;
import brookpath.programs.Role;
import java.util.List;
import java.util.Map;

/**
 * The input for starting a process.
 *
 * @param self this process as peers know it; the identity of the machine is added from the data folder
 * @param founders the first members of the control group; empty for other roles than controllers
 * @param seeds the controllers to poll first, with the host:port at which peers reach them
 * @param foundsControlGroup whether this controller founds the control group, which takes an empty data folder
 * @param dataFolder the path of the data folder; empty if the machine has no disk
 * @param segmentBytes the size of a log segment after which a new one, which begins with a snapshot, is started
 * @param sessionOverflow decides which new sessions a gateway redirects to others
 * @param trafficThreads the number of event loop threads for the sessions with peers
 * @param startedAtMs when the process started, in milliseconds of its monotonic clock
 */
public record ProcessPlan(
        Role role,
        NodeInfo self,
        List<Member> founders,
        Map<Integer, String> seeds,
        TimingBounds timing,
        GroupBootstrap founding,
        boolean foundsControlGroup,
        String dataFolder,
        long segmentBytes,
        SessionOverflow sessionOverflow,
        int trafficThreads,
        long startedAtMs) {
    /** Whether the process stores anything on disk. */
    boolean hasDataFolder() {
        return !dataFolder.isEmpty();
    }
}
