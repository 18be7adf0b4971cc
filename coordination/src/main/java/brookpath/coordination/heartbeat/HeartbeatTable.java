package brookpath.coordination.heartbeat;

import brookpath.coordination.message.PeerMessage.HeartbeatEntry;
import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;

/**
 * What heartbeats have reported of each peer: an immutable snapshot that is replaced as a whole. Any thread may read
 * it.
 */
public final class HeartbeatTable {
    /** A table without peers. */
    public static final HeartbeatTable EMPTY = new HeartbeatTable(new TreeMap<>(), 0);

    /**
     * The state of one peer. Times are of this process's steady clock, in milliseconds.
     *
     * @param up whether it answers heartbeats: it has not missed two replies in a row
     * @param answeredSentAt when the newest heartbeat that it has answered was sent
     * @param answeredOwn this process's entries in that heartbeat, by group
     * @param heardAt when its last heartbeat or reply arrived
     * @param entries its newest entries, by group, regardless of their age
     * @param historyFull whether its last heartbeat said that it has no memory for further records
     */
    public record Row(
            int node,
            boolean up,
            long answeredSentAt,
            Map<Integer, HeartbeatEntry> answeredOwn,
            long heardAt,
            Map<Integer, HeartbeatEntry> entries,
            boolean historyFull) {}

    private final TreeMap<Integer, Row> rows;
    private final long staleAfter;

    HeartbeatTable(final TreeMap<Integer, Row> rows, final long staleAfter) {
        this.rows = rows;
        this.staleAfter = staleAfter;
    }

    /** The row of a node; null if it is not a peer. */
    public Row row(final int node) {
        return rows.get(node);
    }

    /** The rows of all peers, by node number. */
    public Collection<Row> rows() {
        return rows.values();
    }

    /** Whether the node is a peer that answers heartbeats. */
    public boolean up(final int node) {
        final Row row = rows.get(node);
        return row != null && row.up;
    }

    /**
     * The node's entry for a group; null if there is none, or if it is older than two heartbeats and therefore no
     * longer counts.
     */
    public HeartbeatEntry fresh(final int node, final int group, final long now) {
        final Row row = rows.get(node);
        return row == null || now - row.heardAt > staleAfter ? null : row.entries.get(group);
    }
}
