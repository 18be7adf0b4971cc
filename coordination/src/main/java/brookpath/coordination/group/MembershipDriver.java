package brookpath.coordination.group;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.heartbeat.HeartbeatTable;
import java.util.List;
import java.util.TreeMap;

/**
 * Carries out the control leader's orders on the groups that this node leads: one membership record at a time, the next
 * one as soon as the one before is committed. Takes (event, now); it has no clock and no I/O. Not thread-safe: the
 * state thread owns it.
 */
public final class MembershipDriver {
    /** An order that is not repeated within so many heartbeat periods is dropped. */
    private static final int ORDER_LASTS_HEARTBEATS = 6;
    /** The most extra heartbeats in a period while a learner's first answer is awaited. */
    private static final int EXTRA_HEARTBEATS = 8;
    /** The rank of a replica that replaces no other. */
    private static final int SPARE_WEIGHT = 30;

    /**
     * @param atVersion the membership that this order may be applied to: its own, or what it has made of that so far
     */
    private record Running(MoveOrder order, int atVersion, long expiresAt) {}

    private final int self;
    private final TimingBounds timing;
    private final TreeMap<Integer, Running> running = new TreeMap<>();
    private long nextHeartbeat = Long.MIN_VALUE;

    /** Starts without orders; {@code self} is this node's number. */
    public MembershipDriver(final int self, final TimingBounds timing) {
        this.self = self;
        this.timing = timing;
    }

    /** Takes an order; one that was made for another membership is ignored, unless it repeats the one in progress. */
    public void order(final MoveOrder order, final GroupMachine group, final long now) {
        final Running before = running.get(group.id());
        final int version = group.membership().version();
        final long expiresAt = now + ORDER_LASTS_HEARTBEATS * timing.heartbeat();
        if (order.groupVersion() == version) {
            running.put(group.id(), new Running(order, version, expiresAt));
        } else if (before != null && before.order.sameMove(order)) {
            running.put(group.id(), new Running(before.order, before.atVersion, expiresAt));
        }
    }

    /**
     * Appends the next membership record of the order in progress, where that is due and safe.
     *
     * @return true where the step waits for an answer to a heartbeat, so that one should be sent now
     */
    public boolean drive(final GroupMachine group, final HeartbeatTable table, final long now, final long wall) {
        final Running run = running.get(group.id());
        if (run == null || !group.mayAct(now) || !group.membershipSettled()) {
            return false;
        }
        final Membership present = group.membership();
        final Membership next = next(present, run.order);
        if (now >= run.expiresAt || run.atVersion != present.version() || next == null) {
            running.remove(group.id());
            return false;
        }
        if (!allowed(group, present, next, run.order, table, now)) {
            return wantsHeartbeat(group, run.order, now);
        }
        if (run.order.from() == self && !next.holds(self)) {
            transferLeadership(group, next, now);
            return false;
        }
        if (group.change(next, now, wall)) {
            running.put(group.id(), new Running(run.order, next.version(), run.expiresAt));
        }
        return false;
    }

    private boolean wantsHeartbeat(final GroupMachine group, final MoveOrder order, final long now) {
        final boolean waits =
                group.learnerSyncedIndex(order.to()) >= group.committed() && !group.answersWithinLease(order.to(), now);
        if (!waits || now < nextHeartbeat) {
            return false;
        }
        nextHeartbeat = now + timing.heartbeat() / EXTRA_HEARTBEATS;
        return true;
    }

    private static Membership next(final Membership present, final MoveOrder order) {
        final Member leaving = Membership.find(present.voters(), order.from());
        final int weight = leaving == null ? SPARE_WEIGHT : leaving.weight();
        final Member joining = new Member(order.to(), weight, order.zone());
        return order.repair() ? present.repairStep(order.from(), joining) : present.step(order.from(), joining);
    }

    private static boolean allowed(
            final GroupMachine group,
            final Membership present,
            final Membership next,
            final MoveOrder order,
            final HeartbeatTable table,
            final long now) {
        if (next.learners().size() > present.learners().size()) {
            // why: the control leader may be cut off from a machine that this group's leader hears well
            return !order.repair() || !table.up(order.from());
        }
        if (next.voters().size() == present.voters().size()) {
            return true;
        }
        // why: a majority of the new voters must answer before they count, else the step itself ends this leadership
        if (following(group, next.voters(), now)
                < Quorums.majority(next.voters().size())) {
            return false;
        }
        return next.voters().size() > present.voters().size()
                ? mayPromote(group, next, order, now)
                : mayRemove(group, next, order, table.up(order.from()), now);
    }

    private static long following(final GroupMachine group, final List<Member> voters, final long now) {
        return voters.stream()
                .filter(m -> group.answersWithinLease(m.node(), now))
                .count();
    }

    /** A learner becomes a voter once it has all that is committed and, except in a repair, all new voters answer. */
    private static boolean mayPromote(
            final GroupMachine group, final Membership next, final MoveOrder order, final long now) {
        final boolean ready = ready(group, order.to(), now);
        return ready
                && (order.repair()
                        || following(group, next.voters(), now) == next.voters().size());
    }

    private static boolean ready(final GroupMachine group, final int learner, final long now) {
        return group.learnerSyncedIndex(learner) >= group.committed() && group.answersWithinLease(learner, now);
    }

    /**
     * A voter may be removed once every committed record is on enough of those that stay. One that is up is removed
     * only once all of these answer and have synced the present membership, for until then its replica may be needed;
     * where its successor is still a learner, only once that has all that is committed.
     */
    private static boolean mayRemove(
            final GroupMachine group,
            final Membership next,
            final MoveOrder order,
            final boolean leaverUp,
            final long now) {
        final List<Member> staying = next.voters();
        final long holding = staying.stream()
                .filter(m -> group.answersWithinLease(m.node(), now)
                        && group.voterSyncedIndex(m.node()) >= group.committed())
                .count();
        if (holding < group.floor(staying.size())) {
            return false;
        }
        if (Membership.find(next.learners(), order.to()) != null) {
            return ready(group, order.to(), now);
        }
        return !leaverUp
                || staying.stream()
                        .allMatch(m -> group.answersWithinLease(m.node(), now)
                                && group.voterSyncedIndex(m.node()) >= group.membershipIndex());
    }

    private static void transferLeadership(final GroupMachine group, final Membership next, final long now) {
        for (final Member successor : next.voters()) {
            if (group.transferLeadership(successor.node(), now)) {
                return;
            }
        }
    }
}
