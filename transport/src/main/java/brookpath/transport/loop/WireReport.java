package brookpath.transport.loop;

import brookpath.transport.wire.Wire;
import jakarta.json.Json;
import jakarta.json.JsonObjectBuilder;
import java.util.Map;
import java.util.TreeMap;

/** Statistics of the sessions with peers. */
final class WireReport {
    /** Reported as the zone of peers whose zone is not known here. */
    private static final String UNKNOWN_ZONE = "?";

    private static final class ZoneBytes {
        private long out;
        private long in;
    }

    private WireReport() {}

    /**
     * @param zones the zones of the nodes by node number
     * @return counts of faults, and bytes sent and received by the zone of the peer
     */
    static String json(final Wire wire, final Map<Integer, String> zones) {
        final JsonObjectBuilder perZone = Json.createObjectBuilder();
        bytesPerZone(wire, zones)
                .forEach((zone, bytes) -> perZone.add(
                        zone, Json.createObjectBuilder().add("out", bytes.out).add("in", bytes.in)));
        return Json.createObjectBuilder()
                .add("malformedFrames", wire.malformedFrames())
                .add("wrongNodes", wire.wrongNodes())
                .add("bytesPerZone", perZone)
                .build()
                .toString();
    }

    private static Map<String, ZoneBytes> bytesPerZone(final Wire wire, final Map<Integer, String> zones) {
        final TreeMap<String, ZoneBytes> perZone = new TreeMap<>();
        wire.bytesOut().forEach((node, bytes) -> of(perZone, zones, node).out += bytes.sum());
        wire.bytesIn().forEach((node, bytes) -> of(perZone, zones, node).in += bytes.sum());
        return perZone;
    }

    private static ZoneBytes of(
            final Map<String, ZoneBytes> perZone, final Map<Integer, String> zones, final int node) {
        return perZone.computeIfAbsent(zones.getOrDefault(node, UNKNOWN_ZONE), zone -> new ZoneBytes());
    }
}
