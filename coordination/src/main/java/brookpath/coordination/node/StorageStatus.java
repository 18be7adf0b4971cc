package brookpath.coordination.node;

import brookpath.coordination.configuration.ConfigurationClient;
import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.heartbeat.HeartbeatTable;
import jakarta.json.Json;
import jakarta.json.JsonArrayBuilder;
import java.util.Collection;

/** The status page of a storage node and its groups, for operators. */
final class StorageStatus {
    private StorageStatus() {}

    /** The status page, as JSON. */
    static String page(
            final int self,
            final ConfigurationClient client,
            final Collection<GroupMachine> groups,
            final HeartbeatTable table,
            final long now) {
        final JsonArrayBuilder rows = Json.createArrayBuilder();
        groups.forEach(group -> rows.add(GroupStatus.json(group, table, now)));
        return Json.createObjectBuilder()
                .add("node", self)
                .add("role", "storage")
                .add("specVersion", client.configuration().version())
                .add("rosterVersion", client.metadata().version())
                .add("specLeaseLeftMs", Math.max(0, client.leaseUntil() - now))
                .add("controlMaster", client.controlLeader())
                .add("groups", rows)
                .build()
                .toString();
    }
}
