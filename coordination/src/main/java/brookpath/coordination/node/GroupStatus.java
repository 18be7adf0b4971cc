package brookpath.coordination.node;

import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.group.Member;
import brookpath.coordination.heartbeat.HeartbeatTable;
import brookpath.coordination.message.PeerMessage.HeartbeatEntry;
import jakarta.json.Json;
import jakarta.json.JsonArrayBuilder;
import jakarta.json.JsonObject;

/** The state of a group as one member sees it, as JSON for the status page: its leader, log positions and members. */
final class GroupStatus {
    private static final String[] ROLES = {"slave", "candidate", "master"};
    private static final String[] SYNCS = {"peer", "catch-up", "lost"};

    private GroupStatus() {}

    static JsonObject json(final GroupMachine group, final HeartbeatTable table, final long now) {
        final JsonArrayBuilder members = Json.createArrayBuilder();
        group.members().forEach(member -> members.add(row(member, table, group.id(), now, true)));
        return Json.createObjectBuilder()
                .add("group", group.id())
                .add("groupVersion", group.groupVersion())
                .add("role", ROLES[group.role()])
                .add("master", group.leaderHeard())
                .add("epoch", group.term())
                .add("mayAct", group.mayAct(now))
                .add("startLsn", group.baseIndex() + 1)
                .add("endLsn", group.endIndex())
                .add("syncedLsn", group.syncedIndex())
                .add("accepted", group.committed())
                .add("lost", group.lost())
                .add("why", group.why())
                .add("obstacle", group.leaderHeard() == 0 ? group.obstacle() : "")
                .add("table", members)
                .build();
    }

    /**
     * One member as the heartbeat table shows it.
     *
     * @param hasReplica whether the reporting process has a replica of the group; without one it receives no log
     *     positions in heartbeats
     */
    static JsonObject row(
            final Member member,
            final HeartbeatTable table,
            final int group,
            final long now,
            final boolean hasReplica) {
        final HeartbeatEntry entry = table.fresh(member.node(), group, now);
        final var row = Json.createObjectBuilder()
                .add("node", member.node())
                .add("zone", member.zone())
                .add("weight", member.weight())
                .add("up", table.up(member.node()));
        if (entry != null) {
            row.add("role", ROLES[entry.role()])
                    .add("sync", SYNCS[entry.sync()])
                    .add("epoch", entry.term())
                    .add("masterHeard", entry.leaderHeard());
            if (hasReplica) {
                row.add("startLsn", entry.startIndex()).add("endLsn", entry.endIndex());
            }
        }
        return row.build();
    }
}
