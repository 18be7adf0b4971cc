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

    static JsonObject json(final GroupMachine g, final HeartbeatTable table, final long now) {
        final JsonArrayBuilder seen = Json.createArrayBuilder();
        g.members().forEach(m -> seen.add(row(m, table, g.id(), now, true)));
        return Json.createObjectBuilder()
                .add("group", g.id())
                .add("groupVersion", g.groupVersion())
                .add("role", ROLES[g.role()])
                .add("master", g.leaderHeard())
                .add("epoch", g.term())
                .add("mayAct", g.mayAct(now))
                .add("startLsn", g.baseIndex() + 1)
                .add("endLsn", g.endIndex())
                .add("syncedLsn", g.syncedIndex())
                .add("accepted", g.committed())
                .add("lost", g.lost())
                .add("why", g.why())
                .add("obstacle", g.leaderHeard() == 0 ? g.obstacle() : "")
                .add("table", seen)
                .build();
    }

    /**
     * One member as the heartbeat table shows it.
     *
     * @param copies false where the reporting process has no replica, so that heartbeats do not bring it log positions
     */
    static JsonObject row(
            final Member m, final HeartbeatTable table, final int group, final long now, final boolean copies) {
        final HeartbeatEntry e = table.fresh(m.node(), group, now);
        final var row = Json.createObjectBuilder()
                .add("node", m.node())
                .add("zone", m.zone())
                .add("weight", m.weight())
                .add("up", table.up(m.node()));
        if (e != null) {
            row.add("role", ROLES[e.role()])
                    .add("sync", SYNCS[e.sync()])
                    .add("epoch", e.term())
                    .add("masterHeard", e.leaderHeard());
            if (copies) {
                row.add("startLsn", e.startIndex()).add("endLsn", e.endIndex());
            }
        }
        return row.build();
    }
}
