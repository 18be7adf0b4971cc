package brookpath.coordination.metadata;

import brookpath.coordination.group.Member;
import brookpath.coordination.group.Membership;
import brookpath.state.record.PackedBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * The members of the cluster and the placement of replicas: its storage nodes, its controllers, and the members of each
 * group. Immutable.
 *
 * @param nodes the storage nodes
 * @param retiring the storage nodes whose replicas are to be moved away
 * @param controllers all controllers, members of the control group or not
 * @param control the members of the control group
 */
public record ClusterMetadata(
        long version,
        List<NodeInfo> nodes,
        List<GroupInfo> groups,
        List<Integer> retiring,
        List<NodeInfo> controllers,
        Membership control) {
    /**
     * The first number of saved cluster metadata. Data in the first format begins with the version, which is never
     * negative; this format adds the machines' identities.
     */
    private static final long FORMAT = -2;

    /** The cluster metadata before the first record of the control log. */
    public static final ClusterMetadata NONE = new ClusterMetadata(0, List.of(), List.of(), List.of());

    /**
     * A process as its peers see it. Node numbers are derived from addresses, which may be reused; the machine's
     * identity distinguishes a machine from its predecessor at the same address.
     *
     * @param name the operators' name for the machine; may be empty
     * @param machine the machine's identity, generated at its first start; {@link #UNKNOWN_MACHINE} if it is not known
     */
    public record NodeInfo(int node, String zone, String address, String name, long machine) {
        public static final long UNKNOWN_MACHINE = 0;

        /** A process on a machine of unknown identity. */
        public NodeInfo(final int node, final String zone, final String address, final String name) {
            this(node, zone, address, name, UNKNOWN_MACHINE);
        }

        /** A process without a name, on a machine of unknown identity. */
        public NodeInfo(final int node, final String zone, final String address) {
            this(node, zone, address, "");
        }

        /** The same process on the machine with this identity. */
        public NodeInfo withMachine(final long newMachine) {
            return new NodeInfo(node, zone, address, name, newMachine);
        }

        /**
         * Whether this is certainly a different machine from the other one with the same node number. A machine that
         * lost its disk has a new identity but keeps its name, and with it the operators' orders.
         */
        public boolean replaces(final NodeInfo other) {
            return node == other.node
                    && (name.isEmpty() || !name.equals(other.name))
                    && machine != other.machine
                    && machine != UNKNOWN_MACHINE
                    && other.machine != UNKNOWN_MACHINE;
        }

        private void buffer(final PackedBuffer buffer) {
            buffer.putLong(node)
                    .putString(zone)
                    .putString(address)
                    .putString(name)
                    .putLong(machine);
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
        /** The voters according to the cluster metadata. */
        public List<Member> members() {
            return membership.voters();
        }

        /** The version of the membership. */
        public int version() {
            return membership.version();
        }
    }

    /** The next version, with this group in place of the one with the same ID. */
    public ClusterMetadata with(final GroupInfo changed) {
        return with(
                nodes,
                groups.stream().map(g -> g.id == changed.id ? changed : g).toList(),
                retiring);
    }

    /** The next version with these nodes, groups and retiring nodes; controllers and control group stay as they are. */
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

    /** The next version with these controllers and control group members. */
    public ClusterMetadata with(final List<NodeInfo> newControllers, final Membership newControl) {
        return new ClusterMetadata(version + 1, nodes, groups, retiring, List.copyOf(newControllers), newControl);
    }

    /** The storage node with this number; null if there is none. */
    public NodeInfo node(final int id) {
        for (final NodeInfo n : nodes) {
            if (n.node() == id) {
                return n;
            }
        }
        return null;
    }

    /** Encodes the cluster metadata, to be stored or sent. */
    public byte[] save() {
        final PackedBuffer buffer =
                PackedBuffer.writer().putLong(FORMAT).putLong(version).putLong(nodes.size());
        nodes.forEach(n -> n.buffer(buffer));
        buffer.putLong(groups.size());
        for (final GroupInfo g : groups) {
            g.membership.buffer(buffer.putLong(g.id).putLong(g.founded ? 1 : 0));
        }
        buffer.putLong(retiring.size());
        retiring.forEach(buffer::putLong);
        buffer.putLong(controllers.size());
        controllers.forEach(n -> n.buffer(buffer));
        return control.buffer(buffer).toByteArray();
    }

    /**
     * Decodes the result of {@link #save}, also in earlier formats.
     *
     * @throws IllegalStateException if the format is of a newer release
     */
    public static ClusterMetadata load(final byte[] saved) {
        if (saved.length == 0) {
            return NONE;
        }
        final PackedBuffer in = PackedBuffer.reader(saved);
        final long first = in.getLong();
        if (first < FORMAT) {
            throw new IllegalStateException("the cluster metadata has format " + -first
                    + ", and this program reads up to " + -FORMAT + ": it was written by a newer version");
        }
        final boolean hasMachineIds = first == FORMAT;
        final long version = hasMachineIds ? in.getLong() : first;
        final List<NodeInfo> nodes = readNodes(in, hasMachineIds);
        final List<GroupInfo> groups = new ArrayList<>();
        for (long n = in.getLong(); n > 0; n--) {
            groups.add(new GroupInfo((int) in.getLong(), in.getLong() == 1, Membership.load(in)));
        }
        final List<Integer> retiring = new ArrayList<>();
        for (long n = in.getLong(); n > 0; n--) {
            retiring.add((int) in.getLong());
        }
        return new ClusterMetadata(
                version,
                nodes,
                List.copyOf(groups),
                List.copyOf(retiring),
                readNodes(in, hasMachineIds),
                Membership.load(in));
    }

    private static List<NodeInfo> readNodes(final PackedBuffer in, final boolean hasMachineIds) {
        final List<NodeInfo> nodes = new ArrayList<>();
        for (long n = in.getLong(); n > 0; n--) {
            nodes.add(new NodeInfo(
                    (int) in.getLong(),
                    in.getString(),
                    in.getString(),
                    in.getString(),
                    hasMachineIds ? in.getLong() : NodeInfo.UNKNOWN_MACHINE));
        }
        return List.copyOf(nodes);
    }
}
