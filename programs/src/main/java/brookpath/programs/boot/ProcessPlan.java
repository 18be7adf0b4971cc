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
 * All that a process must know to start.
 *
 * @param self this process as other nodes know it; the machine's identity is filled in from the data folder
 * @param founders the control group's first members; empty but for a controller
 * @param seeds controllers that are polled first, with the host:port where peers reach them
 * @param foundsControlGroup whether this controller founds the control group, on an empty data folder
 * @param dataFolder the data folder; empty where the machine has no disk
 * @param segmentBytes a new log segment begins, with a snapshot, after this much
 * @param sessionOverflow which sessions a gateway passes on to others
 * @param trafficThreads how many event loop threads carry traffic
 * @param startedAtMs when the process began, in milliseconds of its monotonic clock
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
    /** Whether the process keeps anything on disk. */
    boolean hasDataFolder() {
        return !dataFolder.isEmpty();
    }
}
