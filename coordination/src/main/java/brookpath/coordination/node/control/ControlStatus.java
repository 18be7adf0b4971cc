package brookpath.coordination.node.control;

import brookpath.coordination.group.Member;
import brookpath.coordination.metadata.ClusterMetadata;
import brookpath.coordination.metadata.ClusterMetadata.GroupInfo;
import brookpath.coordination.metadata.ClusterMetadata.NodeInfo;
import jakarta.json.Json;
import jakarta.json.JsonArrayBuilder;
import jakarta.json.JsonObject;
import jakarta.json.JsonObjectBuilder;

/** The cluster metadata as the status page shows it. */
public final class ControlStatus {
    private ControlStatus() {}

    /**
     * The status page of a controller.
     *
     * @param control the control group as {@code GroupStatus} shows it
     */
    public static String json(
            final int self, final ControlView view, final GroupBootstrap bootstrap, final JsonObject control) {
        final ClusterMetadata metadata = view.metadata();
        return Json.createObjectBuilder()
                .add("node", self)
                .add("role", "bailiff")
                .add("specVersion", view.configuration().version())
                .add("rosterVersion", metadata.version())
                .add("control", control)
                .add("placement", placement(metadata))
                .add("copies", bootstrap.replicas())
                .add("storages", storageNodes(metadata))
                .add("retiring", Json.createArrayBuilder(metadata.retiring()))
                .build()
                .toString();
    }

    /** The placement of each topic group. */
    private static JsonArrayBuilder placement(final ClusterMetadata metadata) {
        final JsonArrayBuilder placements = Json.createArrayBuilder();
        metadata.groups().forEach(g -> placements.add(group(g)));
        return placements;
    }

    private static JsonObjectBuilder group(final GroupInfo g) {
        final JsonArrayBuilder members = Json.createArrayBuilder();
        g.members().forEach(m -> members.add(member(m)));
        final JsonArrayBuilder learners = Json.createArrayBuilder();
        g.membership().learners().forEach(m -> learners.add(m.node()));
        return Json.createObjectBuilder()
                .add("group", g.id())
                .add("groupVersion", g.version())
                .add("founded", g.founded())
                .add("members", members)
                .add("learners", learners);
    }

    private static JsonObject member(final Member m) {
        return Json.createObjectBuilder()
                .add("node", m.node())
                .add("zone", m.zone())
                .add("weight", m.weight())
                .build();
    }

    /** The storage nodes. */
    private static JsonArrayBuilder storageNodes(final ClusterMetadata metadata) {
        final JsonArrayBuilder storageNodes = Json.createArrayBuilder();
        metadata.nodes().forEach(n -> storageNodes.add(storageNode(n)));
        return storageNodes;
    }

    private static JsonObject storageNode(final NodeInfo n) {
        return Json.createObjectBuilder()
                .add("node", n.node())
                .add("zone", n.zone())
                .add("address", n.address())
                .build();
    }
}
