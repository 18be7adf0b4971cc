package brookpath.testing.model;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.group.Member;
import brookpath.coordination.group.Membership;
import brookpath.testing.model.Choice.Kind;
import java.util.ArrayList;
import java.util.List;

/** What may happen next in a world. */
final class Choices {
    static final int TICK = (int) TimingBounds.DEFAULT.tick();
    static final int HEARTBEAT = (int) TimingBounds.DEFAULT.heartbeat();
    static final int DOWN = (int) TimingBounds.DEFAULT.detectionTime() + 2 * TICK;

    /** Two clocks differ by less than the detection time and the lease do. */
    private static final int MOST_SKEW = 50;

    private static final int MOST_DOWN = 2;
    private static final int MOST_WIPES = 2;
    private static final int MOST_CHANGES = 6;
    /** With fewer, the loss of one disk is not tolerated. */
    private static final int FEWEST_VOTERS = 3;

    /** Only so many messages in flight are told apart at one step. */
    private static final int MESSAGES = 4;

    private static final int MOST_LATE = 3;

    private final ModelWorld world;
    private final List<Choice> list = new ArrayList<>();

    private Choices(final ModelWorld world) {
        this.world = world;
    }

    static List<Choice> of(final ModelWorld world) {
        final Choices choices = new Choices(world);
        for (final int milliseconds : new int[] {TICK, HEARTBEAT, DOWN}) {
            choices.list.add(Choice.run(milliseconds));
        }
        choices.messages();
        for (final ModelMember m : world.members) {
            choices.member(m);
        }
        final ModelMember leader = world.acting();
        if (leader != null) {
            choices.leader(leader);
        }
        return choices.list;
    }

    private void messages() {
        int told = 0;
        int late = 0;
        for (int i = 0; i < world.flying.size() && told < MESSAGES; i++) {
            final ModelWorld.InFlight f = world.flying.get(i);
            late += f.late() ? 1 : 0;
            if (!f.isHeartbeat() && world.member(f.to()).runs()) {
                told++;
                list.add(Choice.of(Kind.DELIVER, i));
                list.add(Choice.of(Kind.DROP, i));
                if (!f.late() && late < MOST_LATE) {
                    list.add(Choice.of(Kind.DELAY, i));
                    list.add(Choice.of(Kind.DUPLICATE, i));
                }
            }
        }
    }

    private void member(final ModelMember m) {
        if (!m.alive) {
            list.add(Choice.of(Kind.RESTART, m.id));
            return;
        }
        if (m.frozen) {
            list.add(Choice.of(Kind.THAW, m.id));
            return;
        }
        disk(m);
        network(m);
        list.add(Choice.of(Kind.TICK, m.id));
        list.add(Choice.of(Kind.FREEZE, m.id));
        if (m.skew < MOST_SKEW) {
            list.add(Choice.of(Kind.SKEW, m.id));
        }
        if (world.members.stream().filter(other -> !other.alive).count() < MOST_DOWN) {
            crashes(m);
        }
    }

    private void disk(final ModelMember m) {
        list.add(Choice.of(m.diskStalled ? Kind.RESUME_DISK : Kind.STALL_DISK, m.id));
        if (m.hasUnsynced()) {
            list.add(new Choice(Kind.SYNC, m.id, Choice.KEEP_ALL));
            if (m.syncedEntries + 1 < m.entries.size()) {
                list.add(new Choice(Kind.SYNC, m.id, Choice.KEEP_FIRST));
            }
        }
    }

    private void network(final ModelMember m) {
        if (m.cutInbound || m.cutOutbound) {
            list.add(Choice.of(Kind.HEAL, m.id));
        } else {
            list.add(Choice.of(Kind.CUT, m.id));
            list.add(Choice.of(Kind.CUT_INBOUND, m.id));
            list.add(Choice.of(Kind.CUT_OUTBOUND, m.id));
        }
        list.add(Choice.of(m.held ? Kind.RELEASE : Kind.HOLD, m.id));
    }

    private void crashes(final ModelMember m) {
        list.add(new Choice(Kind.CRASH, m.id, Choice.KEEP_NOTHING));
        if (m.hasUnsynced()) {
            list.add(new Choice(Kind.CRASH, m.id, Choice.KEEP_ALL));
            list.add(new Choice(Kind.CRASH, m.id, Choice.KEEP_FIRST));
        }
        if (mayLoseItsDisk(m)) {
            list.add(Choice.of(Kind.WIPE, m.id));
        }
    }

    /** One loss is tolerated: the next only once everyone has a whole copy again. */
    private boolean mayLoseItsDisk(final ModelMember m) {
        int wipes = 0;
        for (final ModelMember other : world.members) {
            wipes += other.wipes;
            if (other != m && voter(other) && (!other.alive || other.rebuildTo > 0 || other.group.lost())) {
                return false;
            }
        }
        return voter(m) && wipes < MOST_WIPES;
    }

    private boolean voter(final ModelMember m) {
        return Membership.find(world.placed.voters(), m.id) != null;
    }

    private void leader(final ModelMember leader) {
        final GroupMachine g = leader.group;
        if (!History.full(world.appended)) {
            list.add(Choice.of(Kind.APPEND, leader.id));
        }
        for (final Member voter : g.membership().voters()) {
            if (voter.node() != leader.id) {
                list.add(new Choice(Kind.HAND_OVER, leader.id, voter.node()));
            }
        }
        // Why: the callers' part of the contract: the last step is committed and the cluster metadata has it.
        if (g.membershipSettled()
                && world.placed.version() >= g.membership().version()
                && world.changes < MOST_CHANGES) {
            steps(leader);
        }
    }

    private void steps(final ModelMember leader) {
        final Membership present = leader.group.membership();
        for (final ModelMember m : world.members) {
            if (!present.holds(m.id)) {
                list.add(new Choice(Kind.ADD_LEARNER, leader.id, m.id));
            } else if (Membership.find(present.learners(), m.id) != null) {
                if (leader.group.learnerSyncedIndex(m.id) >= leader.group.committed()) {
                    list.add(new Choice(Kind.PROMOTE, leader.id, m.id));
                }
            } else if (m != leader && present.voters().size() > FEWEST_VOTERS) {
                list.add(new Choice(Kind.REMOVE, leader.id, m.id));
            }
        }
    }
}
