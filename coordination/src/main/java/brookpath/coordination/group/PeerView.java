package brookpath.coordination.group;

import brookpath.coordination.heartbeat.HeartbeatTable;
import brookpath.coordination.message.PeerMessage.HeartbeatEntry;
import java.util.List;

/**
 * What the heartbeats report about the other members of one group. Entries older than two heartbeats are ignored. Not
 * thread-safe: the group's state thread owns it; the table itself is an immutable snapshot.
 */
final class PeerView {
    /** No node. */
    static final int NO_NODE = 0;

    private final int group;
    private final int self;
    private HeartbeatTable table = HeartbeatTable.EMPTY;

    PeerView(final int group, final int self) {
        this.group = group;
        this.self = self;
    }

    /** Adopts the newest heartbeat table. */
    void update(final HeartbeatTable newTable) {
        table = newTable;
    }

    /** What the node last reported about this group, null where that is too old or the node is this member. */
    HeartbeatEntry entry(final int node, final long now) {
        return node == self ? null : table.fresh(node, group, now);
    }

    /** The node's row in the heartbeat table, null where it was never a peer. */
    HeartbeatTable.Row row(final int node) {
        return table.row(node);
    }

    /** Whether the node answers heartbeats. */
    boolean up(final int node) {
        return table.up(node);
    }

    /** Whether the node answers heartbeats, and its replica is not lost. */
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

    /** A member that reports that it has no memory for further records; {@link #NO_NODE} where none does. */
    int withFullHistory(final List<Member> members, final long now) {
        for (final Member member : members) {
            if (entry(member.node(), now) != null && row(member.node()).historyFull()) {
                return member.node();
            }
        }
        return NO_NODE;
    }

    /**
     * The highest index up to which one of the members has trimmed its replica, 0 where none is known. A lost replica
     * does not count.
     */
    long trimmedIndex(final List<Member> members, final long now) {
        long trimmed = 0;
        for (final Member member : members) {
            final HeartbeatEntry entry = entry(member.node(), now);
            if (entry != null && entry.sync() != SyncState.LOST.code()) {
                trimmed = Math.max(trimmed, entry.startIndex() - 1);
            }
        }
        return trimmed;
    }

    /**
     * The node that reports itself as the leader of the group in the highest term, but none below the given one; else
     * {@link #NO_NODE}.
     */
    int leader(final long lowestTerm, final long now) {
        int leader = NO_NODE;
        long best = lowestTerm;
        // all nodes are considered: this member's newest membership may never be committed, and may lack the present
        // leader
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
