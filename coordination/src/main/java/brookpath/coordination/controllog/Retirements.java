package brookpath.coordination.controllog;

import brookpath.coordination.metadata.ClusterMetadata;
import brookpath.coordination.metadata.ClusterMetadata.NodeInfo;
import brookpath.state.record.PackedBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * The storage nodes that were ordered to retire, including those since removed from the cluster metadata: an order that
 * is retried because its response was lost must still be recognized. Derived from the cluster metadata records.
 */
public final class Retirements {
    private static final int MAX_RETIREMENTS = 256;

    /** @param index the index of the record with the order */
    public record Retirement(long index, int node, String name) {
        private boolean matches(final NodeInfo info) {
            return name.isEmpty()
                    ? info.name().isEmpty() && info.node() == node
                    : info.name().equals(name);
        }
    }

    private final List<Retirement> retirements = new ArrayList<>();

    /** The newest retirement of a node with this name up to a position of the log; null if there is none. */
    public Retirement byName(final String name, final long position) {
        return newest(retirements.stream()
                .filter(r -> r.index <= position && r.name.equals(name))
                .toList());
    }

    /** The newest retirement of a node with this number up to a position of the log; null if there is none. */
    public Retirement byNumber(final int node, final long position) {
        return newest(retirements.stream()
                .filter(r -> r.index <= position && r.node == node)
                .toList());
    }

    private static Retirement newest(final List<Retirement> found) {
        return found.isEmpty() ? null : found.get(found.size() - 1);
    }

    void apply(final long index, final ClusterMetadata metadata) {
        for (final NodeInfo info : metadata.nodes()) {
            if (!metadata.retiring().contains(info.node())) {
                // The retirement was cancelled, or another machine has the name now
                retirements.removeIf(r -> r.matches(info));
            } else if (retirements.stream().noneMatch(r -> r.matches(info))) {
                retirements.add(new Retirement(index, info.node(), info.name()));
            }
        }
        while (retirements.size() > MAX_RETIREMENTS) {
            retirements.remove(0);
        }
    }

    void save(final PackedBuffer buffer) {
        buffer.putLong(retirements.size());
        retirements.forEach(r -> buffer.putLong(r.index).putLong(r.node).putString(r.name));
    }

    void load(final PackedBuffer in) {
        for (long n = in.getLong(); n > 0; n--) {
            retirements.add(new Retirement(in.getLong(), (int) in.getLong(), in.getString()));
        }
    }
}
