package brookpath.coordination.metadata;

import brookpath.coordination.group.Member;
import brookpath.coordination.group.Membership;
import brookpath.state.record.PackedBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * Membership and placement: which storage nodes there are, and which of them hold which group. Immutable.
 *
 * @param nodes the storage machines
 * @param retiring nodes that are to be emptied
 * @param controllers the control plane's machines, members of the control group or not
 * @param control the control group's members
 */
public record ClusterMetadata(
        long version,
        List<NodeInfo> nodes,
        List<GroupInfo> groups,
        List<Integer> retiring,
        List<NodeInfo> controllers,
        Membership control) {
    /**
     * What a saved cluster metadata begins with. The first format began with the version, which is never negative; this
     * one adds the machines' identities.
     */
    private static final long FORMAT = -2;

    /** The cluster metadata before the first record. */
    public static final ClusterMetadata NONE = new ClusterMetadata(0, List.of(), List.of(), List.of());

    /**
     * A process as others see it. Node numbers follow from addresses, which are used again; the machine's identity
     * tells a machine from the one before it.
     *
     * @param name what operators call the machine; may be empty
     * @param machine the machine's identity, drawn at its first start; {@link #UNKNOWN_MACHINE} where it is not known
     */
    public record NodeInfo(int node, String zone, String address, String name, long machine) {
        public static final long UNKNOWN_MACHINE = 0;

        public NodeInfo(final int node, final String zone, final String address, final String name) {
            this(node, zone, address, name, UNKNOWN_MACHINE);
        }

        public NodeInfo(final int node, final String zone, final String address) {
            this(node, zone, address, "");
        }

        /** The same process on the machine of this identity. */
        public NodeInfo on(final long newMachine) {
            return new NodeInfo(node, zone, address, name, newMachine);
        }

        /**
         * Whether the other one, of the same number, is certainly another machine. One that lost its disk has a new
         * identity but keeps the name by which operators know it, and what was ordered of it.
         */
        public boolean replaces(final NodeInfo other) {
            return node == other.node
                    && (name.isEmpty() || !name.equals(other.name))
                    && machine != other.machine
                    && machine != UNKNOWN_MACHINE
                    && other.machine != UNKNOWN_MACHINE;
        }

        private void buffer(final PackedBuffer buffer) {
            buffer.num(node).str(zone).str(address).str(name).num(machine);
        }
    }

    public ClusterMetadata(
            final long version,
            final List<NodeInfo> nodes,
            final List<GroupInfo> groups,
            final List<Integer> retiring) {
        this(version, nodes, groups, retiring, List.of(), Membership.NONE);
    }

    /** A topic group: whether it has been founded, and its members. */
    public record GroupInfo(int id, boolean founded, Membership membership) {
        public List<Member> members() {
            return membership.voters();
        }

        public int version() {
            return membership.version();
        }
    }

    /** The next version, with this group in place of the one of its number. */
    public ClusterMetadata with(final GroupInfo changed) {
        return with(
                nodes,
                groups.stream().map(g -> g.id == changed.id ? changed : g).toList(),
                retiring);
    }

    /** The next version with these in place of its own; the control plane's part stays. */
    public ClusterMetadata with(
            final List<NodeInfo> newNodes, final List<GroupInfo> newGroups, final List<Integer> newRetiring) {
        return new ClusterMetadata(
                version + 1,
                List.copyOf(newNodes),
                List.copyOf(newGroups),
                List.copyOf(newRetiring),
                controllers,
                control);
    }

    /** The next version with another control plane. */
    public ClusterMetadata with(final List<NodeInfo> newControllers, final Membership newControl) {
        return new ClusterMetadata(version + 1, nodes, groups, retiring, List.copyOf(newControllers), newControl);
    }

    /** The storage node of this number, null for none. */
    public NodeInfo node(final int id) {
        for (final NodeInfo n : nodes) {
            if (n.node() == id) {
                return n;
            }
        }
        return null;
    }

    /** The form in which it is stored and sent. */
    public byte[] save() {
        final PackedBuffer buffer =
                PackedBuffer.writer().num(FORMAT).num(version).num(nodes.size());
        nodes.forEach(n -> n.buffer(buffer));
        buffer.num(groups.size());
        for (final GroupInfo g : groups) {
            g.membership.buffer(buffer.num(g.id).num(g.founded ? 1 : 0));
        }
        buffer.num(retiring.size());
        retiring.forEach(buffer::num);
        buffer.num(controllers.size());
        controllers.forEach(n -> n.buffer(buffer));
        return control.buffer(buffer).done();
    }

    /**
     * Reads what {@link #save} gave, also that of earlier formats.
     *
     * @throws IllegalStateException where the format is that of a newer version
     */
    public static ClusterMetadata load(final byte[] saved) {
        if (saved.length == 0) {
            return NONE;
        }
        final PackedBuffer in = PackedBuffer.reader(saved);
        final long first = in.num();
        if (first < FORMAT) {
            throw new IllegalStateException("the cluster metadata has format " + -first
                    + ", and this program reads up to " + -FORMAT + ": it is of a newer version");
        }
        final boolean machines = first == FORMAT;
        final long version = machines ? in.num() : first;
        final List<NodeInfo> nodes = infos(in, machines);
        final List<GroupInfo> groups = new ArrayList<>();
        for (long n = in.num(); n > 0; n--) {
            groups.add(new GroupInfo((int) in.num(), in.num() == 1, Membership.load(in)));
        }
        final List<Integer> retiring = new ArrayList<>();
        for (long n = in.num(); n > 0; n--) {
            retiring.add((int) in.num());
        }
        return new ClusterMetadata(
                version, nodes, List.copyOf(groups), List.copyOf(retiring), infos(in, machines), Membership.load(in));
    }

    private static List<NodeInfo> infos(final PackedBuffer in, final boolean machines) {
        final List<NodeInfo> nodes = new ArrayList<>();
        for (long n = in.num(); n > 0; n--) {
            nodes.add(new NodeInfo(
                    (int) in.num(), in.str(), in.str(), in.str(), machines ? in.num() : NodeInfo.UNKNOWN_MACHINE));
        }
        return List.copyOf(nodes);
    }
}
