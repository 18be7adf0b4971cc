package brookpath.programs.settings;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.node.control.GroupBootstrap;
import brookpath.programs.Role;
import java.util.Map;

/**
 * The settings of one process, read and checked. Addresses are host:port.
 *
 * @param node the process's number, unique in the cluster
 * @param peerAddress where peers reach the process; empty for a gateway without one
 * @param advertisedPeerAddress the address that is sent to peers; differs from peerAddress behind a forwarded port
 * @param httpAddress where callers or operators reach it
 * @param seeds the controllers that are polled first: their addresses for peers by their numbers
 * @param dataFolder empty for a gateway without one
 * @param founding how the topic groups are founded, and how many machines may be lost at once
 * @param segmentBytes a new log segment begins, with a snapshot, after this much
 * @param foundsControlGroup whether this controller founds the control group, on an empty data folder
 * @param platformUrl where usage reports are posted; empty where they are only kept
 */
public record Settings(
        int node,
        String zone,
        Role role,
        String peerAddress,
        String advertisedPeerAddress,
        String httpAddress,
        Map<Integer, String> seeds,
        String dataFolder,
        TimingBounds timing,
        GroupBootstrap founding,
        long segmentBytes,
        boolean foundsControlGroup,
        String platformUrl) {}
