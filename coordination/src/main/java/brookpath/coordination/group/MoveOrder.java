package brookpath.coordination.group;

import brookpath.state.record.PackedBuffer;

/**
 * The control leader's order to a group's leader to move a replica from one node to another.
 *
 * @param groupVersion the version of the membership that the order applies to; it is void on any other
 * @param repair the leaving node is considered lost, so the order is void while the group's leader hears it
 */
public record MoveOrder(int group, int groupVersion, int from, int to, String zone, boolean repair) {
    /** Serializes the order for the body of a control request. */
    public byte[] save() {
        return PackedBuffer.writer()
                .putLong(group)
                .putLong(groupVersion)
                .putLong(from)
                .putLong(to)
                .putString(zone)
                .putLong(repair ? 1 : 0)
                .toByteArray();
    }

    /** Reads an order that {@link #save} has returned. */
    public static MoveOrder load(final byte[] saved) {
        final PackedBuffer in = PackedBuffer.reader(saved);
        return new MoveOrder(
                (int) in.getLong(),
                (int) in.getLong(),
                (int) in.getLong(),
                (int) in.getLong(),
                in.getString(),
                in.getLong() == 1);
    }

    /** Whether the other order is for the same move, perhaps on another membership. */
    boolean isSameMove(final MoveOrder other) {
        return from == other.from && to == other.to;
    }
}
