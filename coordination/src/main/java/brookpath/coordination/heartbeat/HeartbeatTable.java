package brookpath.coordination.heartbeat;

import brookpath.coordination.message.PeerMessage.HeartbeatEntry;
import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;

/** The status-sharing table, as one immutable snapshot that is swapped whole. */
public final class HeartbeatTable {
    public static final HeartbeatTable EMPTY = new HeartbeatTable(new TreeMap<>(), 0);

    /**
     * @param up not missing two replies in a row
     * @param answeredSentAt when the newest answered heartbeat was sent
     * @param answeredOwn the own entries that this heartbeat carried
     * @param heardAt when anything was heard last
     */
    public record Row(
            int node,
            boolean up,
            long answeredSentAt,
            Map<Integer, HeartbeatEntry> answeredOwn,
            long heardAt,
            Map<Integer, HeartbeatEntry> entries) {}

    private final TreeMap<Integer, Row> rows;
    private final long staleAfter;

    HeartbeatTable(final TreeMap<Integer, Row> rows, final long staleAfter) {
        this.rows = rows;
        this.staleAfter = staleAfter;
    }

    public Row row(final int node) {
        return rows.get(node);
    }

    public Collection<Row> rows() {
        return rows.values();
    }

    public boolean up(final int node) {
        final Row row = rows.get(node);
        return row != null && row.up;
    }

    /**
     * The node's entry for a group, or null where it is older than two heartbeats: such an entry counts for nothing.
     */
    public HeartbeatEntry fresh(final int node, final int group, final long now) {
        final Row row = rows.get(node);
        return row == null || now - row.heardAt > staleAfter ? null : row.entries.get(group);
    }
}
