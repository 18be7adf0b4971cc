package brookpath.testing.fuzz;

import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.group.Member;
import brookpath.coordination.group.Membership;

/** Leaders attempt random membership changes, valid or not; the other nodes learn of committed ones with a delay. */
final class FuzzMembershipChanges {
    private final FuzzContext context;
    /** The newest membership that an acting leader has committed; the other nodes learn of it from here. */
    private Membership published = Membership.NONE;

    private int changes;

    FuzzMembershipChanges(final FuzzContext context) {
        this.context = context;
    }

    int changes() {
        return changes;
    }

    void scheduleNext() {
        context.after(20 + context.random.nextInt(400), () -> {
            for (final FuzzMember member : context.members.values()) {
                if (member.running() && member.group().role() == GroupMachine.LEADER) {
                    member.run(() -> attemptChange(member.group()));
                }
                if (member.alive()
                        && context.random.nextInt(3) == 0
                        && (published.holds(member.id())
                                || member.group().membership().holds(member.id()))) {
                    member.run(() -> learn(member.group()));
                }
            }
            scheduleNext();
        });
    }

    private void learn(final GroupMachine group) {
        if (published.version() > group.membership().version()) {
            group.configure(published, true, context.now());
        }
    }

    private void attemptChange(final GroupMachine group) {
        final Membership current = group.membership();
        if (group.mayAct(context.now()) && group.membershipSettled() && current.version() > published.version()) {
            published = current;
        }
        final Membership next = proposal(current);
        final long committedBefore = group.committed();
        if (next != null
                && next.voters().size() <= context.style.members() + 1
                && group.change(next, context.now(), context.now())) {
            changes++;
            context.oracle.checkChange(current, next, committedBefore);
        }
    }

    /** A random next membership, valid or not; null for none. */
    private Membership proposal(final Membership current) {
        final Member any = new Member(1 + context.random.nextInt(context.members.size()), 50, "");
        if (!current.holds(any.node())) {
            return current.withLearner(any);
        }
        if (Membership.find(current.learners(), any.node()) == null) {
            return current.voters().size() > 3 ? current.withoutVoter(any.node()) : null;
        }
        final Membership promoted = current.promoted(any);
        final int other = current.voters()
                .get(context.random.nextInt(current.voters().size()))
                .node();
        return context.random.nextInt(4) > 0
                ? promoted
                : new Membership(
                        promoted.version(), promoted.withoutVoter(other).voters(), promoted.learners());
    }
}
