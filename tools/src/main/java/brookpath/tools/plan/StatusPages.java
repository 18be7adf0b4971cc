package brookpath.tools.plan;

import brookpath.coordination.group.Member;
import brookpath.coordination.group.Membership;
import brookpath.coordination.metadata.ClusterMetadata;
import brookpath.coordination.metadata.ClusterMetadata.GroupInfo;
import brookpath.coordination.metadata.ClusterMetadata.NodeInfo;
import jakarta.json.JsonNumber;
import jakarta.json.JsonObject;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * The status pages of a controller from which plans are made.
 *
 * @param status the page /v1/status
 * @param nodes the page /v1/nodes
 */
record StatusPages(JsonObject status, JsonObject nodes) {
    /** The values of a node's role on the status pages. */
    static final String GATEWAY = "front";

    static final String STORAGE = "storage";

    private static final int LEARNER_PRIORITY = 0;

    /** The number of replicas of each group. */
    int replicas() {
        return status.getInt("copies");
    }

    /** The processes of the data plane, each as an entry of the page /v1/nodes. */
    List<JsonObject> processes() {
        return nodes.getJsonArray("nodes").getValuesAs(JsonObject.class);
    }

    /** The storage nodes that hold a lease. */
    Set<Integer> liveStorageNodes() {
        final Set<Integer> live = new TreeSet<>();
        for (final JsonObject process : processes()) {
            if (process.getString("role").equals(STORAGE) && hasLease(process)) {
                live.add(process.getInt("node"));
            }
        }
        return live;
    }

    static boolean hasLease(final JsonObject process) {
        return process.getInt("leaseLeftMs") > 0;
    }

    /** The cluster metadata, rebuilt from the page /v1/status. */
    ClusterMetadata metadata() {
        final List<NodeInfo> storageNodes = new ArrayList<>();
        final Map<Integer, String> zones = new HashMap<>();
        for (final JsonObject node : status.getJsonArray("storages").getValuesAs(JsonObject.class)) {
            storageNodes.add(new NodeInfo(node.getInt("node"), node.getString("zone"), node.getString("address")));
            zones.put(node.getInt("node"), node.getString("zone"));
        }
        final List<GroupInfo> groups = new ArrayList<>();
        for (final JsonObject group : status.getJsonArray("placement").getValuesAs(JsonObject.class)) {
            groups.add(group(group, zones));
        }
        return new ClusterMetadata(status.getInt("rosterVersion"), storageNodes, groups, numbers(status, "retiring"));
    }

    private static GroupInfo group(final JsonObject group, final Map<Integer, String> zones) {
        final List<Member> voters = new ArrayList<>();
        for (final JsonObject member : group.getJsonArray("members").getValuesAs(JsonObject.class)) {
            voters.add(new Member(member.getInt("node"), member.getInt("weight"), member.getString("zone")));
        }
        final List<Member> learners = new ArrayList<>();
        for (final int node : numbers(group, "learners")) {
            learners.add(new Member(node, LEARNER_PRIORITY, zones.get(node)));
        }
        return new GroupInfo(
                group.getInt("group"),
                group.getBoolean("founded"),
                new Membership(group.getInt("groupVersion"), voters, learners));
    }

    private static List<Integer> numbers(final JsonObject object, final String key) {
        return object.getJsonArray(key).getValuesAs(JsonNumber::intValue);
    }
}
