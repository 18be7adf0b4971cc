package brookpath.coordination.beat;

import brookpath.coordination.message.Msg.BeatEntry;
import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;

/** The status-sharing table, as one immutable snapshot that is swapped whole. */
public final class BeatTable {
    public static final BeatTable EMPTY = new BeatTable(new TreeMap<>(), 0);

    /**
     * @param up not missing two replies in a row
     * @param answeredSentAt when the newest answered beat was sent
     * @param answeredOwn the own entries that this beat carried
     * @param heardAt when anything was heard last
     */
    public record Row(
            int node,
            boolean up,
            long answeredSentAt,
            Map<Integer, BeatEntry> answeredOwn,
            long heardAt,
            Map<Integer, BeatEntry> entries) {}

    private final TreeMap<Integer, Row> rows;
    private final long staleAfter;

    BeatTable(final TreeMap<Integer, Row> rows, final long staleAfter) {
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

    /** The node's entry for a group, or null where it is older than two beats: such an entry counts for nothing. */
    public BeatEntry fresh(final int node, final int group, final long now) {
        final Row row = rows.get(node);
        return row == null || now - row.heardAt > staleAfter ? null : row.entries.get(group);
    }
}
