package brookpath.coordination.group;

import brookpath.coordination.Tempo;
import brookpath.coordination.beat.BeatTable;
import java.util.List;
import java.util.TreeMap;

/**
 * Carries out the control master's orders on the groups that this node masters: one membership record at a time, the
 * next one as soon as the one before is accepted. Takes (event, now); it has no clock and no I/O.
 */
public final class MembershipDriver {
    /** An order that is not repeated within so many beats is dropped. */
    private static final int ORDER_LASTS_BEATS = 6;

    /**
     * @param atVersion the membership that this order may be applied to: its own, or what it has made of that so far
     */
    private record Running(MoveOrder order, int atVersion, long expiresAt) {}

    private final int self;
    private final Tempo tempo;
    private final TreeMap<Integer, Running> running = new TreeMap<>();

    public MembershipDriver(final int self, final Tempo tempo) {
        this.self = self;
        this.tempo = tempo;
    }

    /** Takes an order; one that was made for another membership is ignored, unless it repeats the one under way. */
    public void order(final MoveOrder order, final GroupMachine group, final long now) {
        final Running before = running.get(group.id());
        final int version = group.membership().version();
        final long expiresAt = now + ORDER_LASTS_BEATS * tempo.beat();
        if (order.groupVersion() == version) {
            running.put(group.id(), new Running(order, version, expiresAt));
        } else if (before != null && before.order.sameMove(order)) {
            running.put(group.id(), new Running(before.order, before.atVersion, expiresAt));
        }
    }

    /** Appends the next membership record of the order under way, where that is due and safe. */
    public void drive(final GroupMachine group, final BeatTable table, final long now, final long wall) {
        final Running run = running.get(group.id());
        if (run == null || !group.mayAct(now) || !group.membershipSettled()) {
            return;
        }
        final Membership present = group.membership();
        if (now >= run.expiresAt || run.atVersion != present.version()) {
            running.remove(group.id());
            return;
        }
        final Membership next = next(present, run.order);
        if (next == null) {
            running.remove(group.id());
            return;
        }
        if (!allowed(group, present, next, run.order, table, now)) {
            return;
        }
        if (run.order.from() == self && !next.holds(self)) {
            handOver(group, next, now);
            return;
        }
        group.change(next, now, wall);
        running.put(group.id(), new Running(run.order, next.version(), run.expiresAt));
    }

    /** Whether an order is under way that the next event may drive on. */
    public boolean busy(final GroupMachine group, final long now) {
        final Running run = running.get(group.id());
        return run != null && now < run.expiresAt && group.role() == GroupMachine.MASTER;
    }

    private static Membership next(final Membership present, final MoveOrder order) {
        final Member leaving = Membership.find(present.voters(), order.from());
        final int weight = leaving == null ? 0 : leaving.weight();
        return present.step(order.from(), new Member(order.to(), weight, order.zone()));
    }

    private static boolean allowed(
            final GroupMachine group,
            final Membership present,
            final Membership next,
            final MoveOrder order,
            final BeatTable table,
            final long now) {
        if (next.learners().size() > present.learners().size()) {
            // why: the control master may be cut off from a machine that this group's master hears well
            return !order.repair() || !table.up(order.from());
        }
        if (next.voters().size() > present.voters().size()) {
            return group.learnt(order.to()) >= group.accepted();
        }
        return next.voters().size() == present.voters().size()
                || mayRemove(group, next.voters(), table.up(order.from()), now);
    }

    /**
     * A voter may go once every accepted record is on enough of those that stay. One that still works goes only once
     * all of these work and have synced the present membership, for until then its copy may be needed.
     */
    private static boolean mayRemove(
            final GroupMachine group, final List<Member> staying, final boolean leaverUp, final long now) {
        final long holding = staying.stream()
                .filter(m -> group.answers(m.node(), now) && group.copySynced(m.node()) >= group.accepted())
                .count();
        if (holding < group.floor(staying.size())) {
            return false;
        }
        return !leaverUp
                || staying.stream()
                        .allMatch(m ->
                                group.copySynced(m.node()) >= group.membershipLsn() && group.answers(m.node(), now));
    }

    private static void handOver(final GroupMachine group, final Membership next, final long now) {
        for (final Member successor : next.voters()) {
            if (group.handOver(successor.node(), now)) {
                return;
            }
        }
    }
}
