package brookpath.programs.settings;

import brookpath.coordination.TimingBounds;
import java.util.Map;

/** One process's place in the system, read and checked. Addresses are host:port; a seed is node@host:port. */
public record Settings(
        int node,
        String zone,
        String role,
        String peers,
        String http,
        Map<Integer, String> seeds,
        String data,
        TimingBounds timing,
        int toleratedLosses,
        int groups,
        int copies,
        int storages,
        long rollBytes,
        boolean found,
        String platform,
        String reachedAs) {
    public static final String GATEWAY = "front";
    public static final String STORAGE = "storage";
    public static final String CONTROLLER = "bailiff";

    public static String host(final String address) {
        return address.substring(0, address.lastIndexOf(':'));
    }

    public static int port(final String address) {
        return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
    }
}
