package brookpath.coordination.group;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.heartbeat.HeartbeatTable;
import java.util.List;
import java.util.TreeMap;

/**
 * Executes the control leader's orders on the groups that this node leads: one membership record at a time, the next
 * one as soon as the previous one is committed. Takes (event, now); it has no clock and no I/O. Not thread-safe: the
 * state thread owns it.
 */
public final class MembershipDriver {
    /** An order that is not repeated within this many heartbeat periods is dropped. */
    private static final int ORDER_EXPIRY_HEARTBEATS = 6;
    /** The maximum number of extra heartbeats per period while a learner's first answer is awaited. */
    private static final int EXTRA_HEARTBEATS = 8;
    /** The rank in elections of a replica that replaces no other. */
    private static final int SPARE_WEIGHT = 30;

    /**
     * An order in progress.
     *
     * @param atVersion the group version that the order applies to: its own, or that of its newest step
     */
    private record ActiveOrder(MoveOrder order, int atVersion, long expiresAt) {}

    private final int self;
    private final TimingBounds timing;
    private final TreeMap<Integer, ActiveOrder> activeOrders = new TreeMap<>();
    private long nextHeartbeat = Long.MIN_VALUE;

    /** Creates a driver without orders; {@code self} is this node's number. */
    public MembershipDriver(final int self, final TimingBounds timing) {
        this.self = self;
        this.timing = timing;
    }

    /** Accepts an order; one for another group version is ignored, unless it repeats the order in progress. */
    public void order(final MoveOrder order, final GroupMachine group, final long now) {
        final ActiveOrder before = activeOrders.get(group.id());
        final int version = group.membership().version();
        final long expiresAt = now + ORDER_EXPIRY_HEARTBEATS * timing.heartbeat();
        if (order.groupVersion() == version) {
            activeOrders.put(group.id(), new ActiveOrder(order, version, expiresAt));
        } else if (before != null && before.order.isSameMove(order)) {
            activeOrders.put(group.id(), new ActiveOrder(before.order, before.atVersion, expiresAt));
        }
    }

    /**
     * Appends the next membership record of the order in progress, where that is due and safe.
     *
     * @return true where the step waits for an answer to a heartbeat, so that a heartbeat should be sent now
     */
    public boolean drive(final GroupMachine group, final HeartbeatTable table, final long now, final long wall) {
        final ActiveOrder active = activeOrders.get(group.id());
        if (active == null || !group.mayAct(now) || !group.membershipSettled()) {
            return false;
        }
        final Membership present = group.membership();
        final Membership next = next(present, active.order);
        if (now >= active.expiresAt || active.atVersion != present.version() || next == null) {
            activeOrders.remove(group.id());
            return false;
        }
        if (!isAllowed(group, present, next, active.order, table, now)) {
            return needsHeartbeat(group, active.order, now);
        }
        if (active.order.from() == self && !next.holds(self)) {
            transferLeadership(group, next, now);
            return false;
        }
        if (group.change(next, now, wall)) {
            activeOrders.put(group.id(), new ActiveOrder(active.order, next.version(), active.expiresAt));
        }
        return false;
    }

    private boolean needsHeartbeat(final GroupMachine group, final MoveOrder order, final long now) {
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

    private static boolean isAllowed(
            final GroupMachine group,
            final Membership present,
            final Membership next,
            final MoveOrder order,
            final HeartbeatTable table,
            final long now) {
        if (next.learners().size() > present.learners().size()) {
            // a repair is void while this group's leader hears the node, since the control leader alone may be cut off
            // from it
            return !order.repair() || !table.up(order.from());
        }
        if (next.voters().size() == present.voters().size()) {
            return true;
        }
        // a majority of the new voters must answer before they count, or the step itself would end this leadership
        if (countAnswering(group, next.voters(), now)
                < Quorums.majority(next.voters().size())) {
            return false;
        }
        return next.voters().size() > present.voters().size()
                ? mayPromote(group, next, order, now)
                : mayRemove(group, next, order, table.up(order.from()), now);
    }

    private static long countAnswering(final GroupMachine group, final List<Member> voters, final long now) {
        return voters.stream()
                .filter(m -> group.answersWithinLease(m.node(), now))
                .count();
    }

    /**
     * A learner is promoted once it has everything that is committed and, except in a repair, all new voters answer.
     */
    private static boolean mayPromote(
            final GroupMachine group, final Membership next, final MoveOrder order, final long now) {
        final boolean ready = isReady(group, order.to(), now);
        return ready
                && (order.repair()
                        || countAnswering(group, next.voters(), now)
                                == next.voters().size());
    }

    private static boolean isReady(final GroupMachine group, final int learner, final long now) {
        return group.learnerSyncedIndex(learner) >= group.committed() && group.answersWithinLease(learner, now);
    }

    /**
     * A voter may be removed once enough of the remaining voters hold every committed record. A voter that is up is
     * removed only once all remaining voters answer and have synced the present membership, since its replica may be
     * needed until then. Where its successor is still a learner, it is removed only once that has everything committed.
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
            return isReady(group, order.to(), now);
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
