package brookpath.programs.settings;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.node.control.GroupBootstrap;
import brookpath.programs.Role;
import java.util.Map;

/**
 * The settings of one process, read and checked. Addresses are host:port.
 *
 * @param node the node number of the process, unique in the cluster
 * @param peerAddress the address to listen on for peers; empty if a gateway has none
 * @param advertisedPeerAddress the address that is sent to peers, which differs from peerAddress behind a forwarded
 *     port
 * @param httpAddress the address to listen on for HTTP requests of callers or operators
 * @param seeds the controllers to poll first: their peer addresses by node number
 * @param dataFolder the path of the data folder; empty if a gateway has none
 * @param founding how the topic groups are founded, and how many nodes may be lost at once
 * @param segmentBytes the size of a log segment after which a new one, which begins with a snapshot, is started
 * @param foundsControlGroup whether this controller founds the control group, which takes an empty data folder
 * @param platformUrl where usage reports are posted; empty to keep them without posting
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
