package brookpath.coordination.group;

import brookpath.coordination.heartbeat.HeartbeatTable;
import brookpath.coordination.message.PeerMessage.HeartbeatEntry;
import java.util.List;

/**
 * What the heartbeats report of one group's other members. Entries that are older than two heartbeats count for
 * nothing. Not thread-safe: the group's state thread owns it; the table itself is an immutable snapshot.
 */
final class PeerView {
    /** No node. */
    static final int NOBODY = 0;

    private final int group;
    private final int self;
    private HeartbeatTable table = HeartbeatTable.EMPTY;

    PeerView(final int group, final int self) {
        this.group = group;
        this.self = self;
    }

    /** Takes the newest table. */
    void update(final HeartbeatTable newTable) {
        table = newTable;
    }

    /** What the node last reported of this group, null where that is too old or where the node is this member. */
    HeartbeatEntry entry(final int node, final long now) {
        return node == self ? null : table.fresh(node, group, now);
    }

    /** The node's row, null where it was never a peer. */
    HeartbeatTable.Row row(final int node) {
        return table.row(node);
    }

    /** Whether the node answers heartbeats. */
    boolean up(final int node) {
        return table.up(node);
    }

    /** Whether the node answers, and its replica counts. */
    boolean active(final int node, final long now) {
        final HeartbeatEntry entry = entry(node, now);
        return entry != null && entry.sync() != SyncState.LOST.code() && up(node);
    }

    /** How many of the voters other than this member are active. */
    int active(final List<Member> voters, final long now) {
        int active = 0;
        for (final Member voter : voters) {
            active += active(voter.node(), now) ? 1 : 0;
        }
        return active;
    }

    /**
     * The node that reports to lead the group in the highest term that is not below the given one, else
     * {@link #NOBODY}.
     */
    int leader(final long lowestTerm, final long now) {
        int leader = NOBODY;
        long best = lowestTerm;
        // why: a membership here that was never committed may lack the node that leads the group by now
        for (final HeartbeatTable.Row row : table.rows()) {
            final HeartbeatEntry entry = entry(row.node(), now);
            if (entry != null && entry.role() == GroupRole.LEADER.code() && entry.term() >= best) {
                best = entry.term();
                leader = row.node();
            }
        }
        return leader;
    }
}
