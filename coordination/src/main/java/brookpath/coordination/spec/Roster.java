package brookpath.coordination.spec;

import brookpath.coordination.group.Member;
import brookpath.coordination.group.Membership;
import brookpath.state.record.Pack;
import java.util.ArrayList;
import java.util.List;

/**
 * Membership and placement: which storage nodes there are, and which of them hold which group. Immutable.
 *
 * @param nodes the storage machines
 * @param retiring nodes that are to be emptied
 * @param bailiffs the control plane's machines, members of the control group or not
 * @param control the control group's members
 */
public record Roster(
        long version,
        List<NodeInfo> nodes,
        List<GroupInfo> groups,
        List<Integer> retiring,
        List<NodeInfo> bailiffs,
        Membership control) {
    public static final Roster NONE = new Roster(0, List.of(), List.of(), List.of());

    /** @param name what operators call the machine; may be empty */
    public record NodeInfo(int node, String zone, String address, String name) {
        public NodeInfo(final int node, final String zone, final String address) {
            this(node, zone, address, "");
        }
    }

    public Roster(
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
    public Roster with(final GroupInfo changed) {
        return with(
                nodes,
                groups.stream().map(g -> g.id == changed.id ? changed : g).toList(),
                retiring);
    }

    /** The next version with these in place of its own; the control plane's part stays. */
    public Roster with(
            final List<NodeInfo> newNodes, final List<GroupInfo> newGroups, final List<Integer> newRetiring) {
        return new Roster(
                version + 1,
                List.copyOf(newNodes),
                List.copyOf(newGroups),
                List.copyOf(newRetiring),
                bailiffs,
                control);
    }

    /** The next version with another control plane. */
    public Roster with(final List<NodeInfo> newBailiffs, final Membership newControl) {
        return new Roster(version + 1, nodes, groups, retiring, List.copyOf(newBailiffs), newControl);
    }

    public NodeInfo node(final int id) {
        for (final NodeInfo n : nodes) {
            if (n.node() == id) {
                return n;
            }
        }
        return null;
    }

    public byte[] save() {
        final Pack pack = Pack.writer().num(version).num(nodes.size());
        nodes.forEach(n -> pack.num(n.node).str(n.zone).str(n.address).str(n.name));
        pack.num(groups.size());
        for (final GroupInfo g : groups) {
            g.membership.pack(pack.num(g.id).num(g.founded ? 1 : 0));
        }
        pack.num(retiring.size());
        retiring.forEach(pack::num);
        pack.num(bailiffs.size());
        bailiffs.forEach(n -> pack.num(n.node).str(n.zone).str(n.address).str(n.name));
        return control.pack(pack).done();
    }

    public static Roster load(final byte[] saved) {
        if (saved.length == 0) {
            return NONE;
        }
        final Pack in = Pack.reader(saved);
        final long version = in.num();
        final List<NodeInfo> nodes = infos(in);
        final List<GroupInfo> groups = new ArrayList<>();
        for (long n = in.num(); n > 0; n--) {
            groups.add(new GroupInfo((int) in.num(), in.num() == 1, Membership.load(in)));
        }
        final List<Integer> retiring = new ArrayList<>();
        for (long n = in.num(); n > 0; n--) {
            retiring.add((int) in.num());
        }
        return new Roster(version, nodes, List.copyOf(groups), List.copyOf(retiring), infos(in), Membership.load(in));
    }

    private static List<NodeInfo> infos(final Pack in) {
        final List<NodeInfo> nodes = new ArrayList<>();
        for (long n = in.num(); n > 0; n--) {
            nodes.add(new NodeInfo((int) in.num(), in.str(), in.str(), in.str()));
        }
        return List.copyOf(nodes);
    }
}
