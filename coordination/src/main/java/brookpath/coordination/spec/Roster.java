package brookpath.coordination.spec;

import brookpath.coordination.group.Member;
import brookpath.coordination.group.Membership;
import brookpath.state.record.Pack;
import java.util.ArrayList;
import java.util.List;

/** Membership and placement: which storage nodes there are, and which of them hold which group. Immutable. */
/** @param retiring nodes that are to be emptied */
public record Roster(long version, List<NodeInfo> nodes, List<GroupInfo> groups, List<Integer> retiring) {
    public static final Roster NONE = new Roster(0, List.of(), List.of(), List.of());

    public record NodeInfo(int node, String zone, String address) {
    }

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
        return new Roster(version + 1, nodes, groups.stream().map(g -> g.id == changed.id ? changed : g).toList(), retiring);
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
        nodes.forEach(n -> pack.num(n.node).str(n.zone).str(n.address));
        pack.num(groups.size());
        for (final GroupInfo g : groups) {
            g.membership.pack(pack.num(g.id).num(g.founded ? 1 : 0));
        }
        pack.num(retiring.size());
        retiring.forEach(pack::num);
        return pack.done();
    }

    public static Roster load(final byte[] saved) {
        if (saved.length == 0) {
            return NONE;
        }
        final Pack in = Pack.reader(saved);
        final long version = in.num();
        final List<NodeInfo> nodes = new ArrayList<>();
        for (long n = in.num(); n > 0; n--) {
            nodes.add(new NodeInfo((int) in.num(), in.str(), in.str()));
        }
        final List<GroupInfo> groups = new ArrayList<>();
        for (long n = in.num(); n > 0; n--) {
            groups.add(new GroupInfo((int) in.num(), in.num() == 1, Membership.load(in)));
        }
        final List<Integer> retiring = new ArrayList<>();
        for (long n = in.num(); n > 0; n--) {
            retiring.add((int) in.num());
        }
        return new Roster(version, List.copyOf(nodes), List.copyOf(groups), List.copyOf(retiring));
    }
}
