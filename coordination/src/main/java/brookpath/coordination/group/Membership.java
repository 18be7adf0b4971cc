package brookpath.coordination.group;

import brookpath.state.record.PackedBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * One version of a group's membership. Learners replicate the log, but neither vote nor count for commits. Immutable.
 */
public record Membership(int version, List<Member> voters, List<Member> learners) {
    /** No members, in version 0: the membership of a group that is not configured yet. */
    public static final Membership NONE = new Membership(0, List.of(), List.of());

    /** Serializes the membership for a log record or a snapshot. */
    public byte[] save() {
        return buffer(PackedBuffer.writer()).toByteArray();
    }

    /** Appends the serialized membership to the buffer, and returns the buffer. */
    public PackedBuffer buffer(final PackedBuffer buffer) {
        buffer.putLong(version);
        for (final List<Member> list : List.of(voters, learners)) {
            buffer.putLong(list.size());
            list.forEach(m -> buffer.putLong(m.node()).putLong(m.weight()).putString(m.zone()));
        }
        return buffer;
    }

    /** Reads a membership that {@link #buffer} has written. */
    public static Membership load(final PackedBuffer in) {
        return new Membership((int) in.getLong(), list(in), list(in));
    }

    private static List<Member> list(final PackedBuffer in) {
        final List<Member> list = new ArrayList<>();
        for (long n = in.getLong(); n > 0; n--) {
            list.add(new Member((int) in.getLong(), (int) in.getLong(), in.getString()));
        }
        return List.copyOf(list);
    }

    /** The member of the list with this node number, null for none. */
    public static Member find(final List<Member> list, final int node) {
        return list.stream().filter(m -> m.node() == node).findFirst().orElse(null);
    }

    /** The members of the first list that the second lacks. */
    public static List<Member> missing(final List<Member> list, final List<Member> from) {
        return list.stream().filter(m -> find(from, m.node()) == null).toList();
    }

    /** The next version, with this learner added. */
    public Membership withLearner(final Member m) {
        return new Membership(version + 1, voters, with(learners, m));
    }

    /** The next version, with this learner removed. */
    public Membership withoutLearner(final int node) {
        return new Membership(version + 1, voters, without(learners, node));
    }

    /** The next version, with this learner promoted to a voter. */
    public Membership promoted(final Member m) {
        return new Membership(version + 1, with(voters, m), without(learners, m.node()));
    }

    /** The next version, with this voter removed. */
    public Membership withoutVoter(final int node) {
        return new Membership(version + 1, without(voters, node), learners);
    }

    /** Whether the node is a voter or a learner. */
    public boolean holds(final int node) {
        return find(voters, node) != null || find(learners, node) != null;
    }

    private static List<Member> with(final List<Member> list, final Member m) {
        final List<Member> more = new ArrayList<>(list);
        more.add(m);
        return List.copyOf(more);
    }

    private static List<Member> without(final List<Member> list, final int node) {
        return list.stream().filter(m -> m.node() != node).toList();
    }

    /**
     * The next single step of moving a replica from one node to another, or null where the move is complete. A leaving
     * learner is removed at once.
     */
    public Membership step(final int from, final Member to) {
        if (find(learners, from) != null) {
            return new Membership(version + 1, voters, without(learners, from));
        }
        if (find(voters, from) == null) {
            return null;
        }
        if (!holds(to.node())) {
            return withLearner(to);
        }
        return find(learners, to.node()) != null ? promoted(to) : withoutVoter(from);
    }

    /**
     * The next single step of replacing a lost node by another, or null where the replacement is complete. The lost
     * voter is removed before the learner is promoted, so that no majority ever depends on the learner being up.
     *
     * @param from the lost node; 0 where a voter is missing and none has to be removed
     */
    public Membership repairStep(final int from, final Member to) {
        final Member learner = find(learners, to.node());
        if (find(learners, from) != null) {
            return new Membership(version + 1, voters, without(learners, from));
        }
        if (!holds(to.node())) {
            return new Membership(version + 1, voters, with(learners, to));
        }
        if (find(voters, from) != null) {
            return new Membership(version + 1, without(voters, from), learners);
        }
        return learner == null
                ? null
                : new Membership(version + 1, with(voters, learner), without(learners, to.node()));
    }
}
