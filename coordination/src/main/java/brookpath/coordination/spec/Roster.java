package brookpath.coordination.spec;

import brookpath.coordination.group.Member;
import brookpath.state.record.Pack;
import java.util.ArrayList;
import java.util.List;

/** Membership and placement: which storage nodes there are, and which of them hold which group. Immutable. */
public record Roster(long version, List<NodeInfo> nodes, List<GroupInfo> groups) {
    public static final Roster NONE = new Roster(0, List.of(), List.of());

    public record NodeInfo(int node, String zone, String address) {
    }

    public record GroupInfo(int id, int version, boolean founded, List<Member> members) {
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
            pack.num(g.id).num(g.version).num(g.founded ? 1 : 0).num(g.members.size());
            g.members.forEach(m -> pack.num(m.node()).num(m.weight()).str(m.zone()));
        }
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
            final int id = (int) in.num();
            final int groupVersion = (int) in.num();
            final boolean founded = in.num() == 1;
            final List<Member> members = new ArrayList<>();
            for (long m = in.num(); m > 0; m--) {
                members.add(new Member((int) in.num(), (int) in.num(), in.str()));
            }
            groups.add(new GroupInfo(id, groupVersion, founded, List.copyOf(members)));
        }
        return new Roster(version, List.copyOf(nodes), List.copyOf(groups));
    }
}
