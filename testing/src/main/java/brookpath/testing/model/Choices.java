package brookpath.testing.model;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.group.Member;
import brookpath.coordination.group.Membership;
import brookpath.testing.model.Choice.Kind;
import java.util.ArrayList;
import java.util.List;

/** Enumerates the choices that are possible in the current state of a world. */
final class Choices {
    static final int TICK = (int) TimingBounds.DEFAULT.tick();
    static final int HEARTBEAT = (int) TimingBounds.DEFAULT.heartbeat();
    static final int DETECTION = (int) TimingBounds.DEFAULT.detectionTime() + 2 * TICK;

    /** Leases are safe only while clocks differ by less than the detection time minus the lease. */
    private static final int MAX_SKEW_MS = 50;

    private static final int MAX_DOWN = 2;
    private static final int MAX_WIPES = 2;
    private static final int MAX_MEMBERSHIP_CHANGES = 6;
    /** With fewer voters the group does not tolerate the loss of one disk. */
    private static final int MIN_VOTERS = 3;

    /** Limits the branching: only this many of the messages in flight get choices of their own at one step. */
    private static final int MAX_MESSAGES_CONSIDERED = 4;

    private static final int MAX_DELAYED = 3;

    private final ModelWorld world;
    private final List<Choice> list = new ArrayList<>();

    private Choices(final ModelWorld world) {
        this.world = world;
    }

    static List<Choice> of(final ModelWorld world) {
        final Choices choices = new Choices(world);
        for (final int milliseconds : new int[] {TICK, HEARTBEAT, DETECTION}) {
            choices.list.add(Choice.run(milliseconds));
        }
        choices.addMessageChoices();
        for (final ModelMember m : world.members) {
            choices.addMemberChoices(m);
        }
        final ModelMember leader = world.actingLeader();
        if (leader != null) {
            choices.addLeaderChoices(leader);
        }
        return choices.list;
    }

    private void addMessageChoices() {
        int considered = 0;
        int delayed = 0;
        for (int i = 0; i < world.inFlight.size() && considered < MAX_MESSAGES_CONSIDERED; i++) {
            final ModelWorld.InFlight f = world.inFlight.get(i);
            delayed += f.delayed() ? 1 : 0;
            if (!f.isHeartbeat() && world.member(f.to()).runs()) {
                considered++;
                list.add(Choice.of(Kind.DELIVER, i));
                list.add(Choice.of(Kind.DROP, i));
                if (!f.delayed() && delayed < MAX_DELAYED) {
                    list.add(Choice.of(Kind.DELAY, i));
                    list.add(Choice.of(Kind.DUPLICATE, i));
                }
            }
        }
    }

    private void addMemberChoices(final ModelMember m) {
        if (!m.alive) {
            list.add(Choice.of(Kind.RESTART, m.id));
            return;
        }
        if (m.frozen) {
            list.add(Choice.of(Kind.THAW, m.id));
            return;
        }
        addDiskChoices(m);
        addNetworkChoices(m);
        list.add(Choice.of(Kind.TICK, m.id));
        list.add(Choice.of(Kind.FREEZE, m.id));
        if (m.skewMs < MAX_SKEW_MS) {
            list.add(Choice.of(Kind.SKEW, m.id));
        }
        if (world.members.stream().filter(other -> !other.alive).count() < MAX_DOWN) {
            addCrashChoices(m);
        }
    }

    private void addDiskChoices(final ModelMember m) {
        list.add(Choice.of(m.diskStalled ? Kind.RESUME_DISK : Kind.STALL_DISK, m.id));
        if (m.hasUnsynced()) {
            list.add(new Choice(Kind.SYNC, m.id, Choice.KEEP_ALL));
            if (m.syncedEntries + 1 < m.entries.size()) {
                list.add(new Choice(Kind.SYNC, m.id, Choice.KEEP_FIRST));
            }
        }
    }

    private void addNetworkChoices(final ModelMember m) {
        if (m.cutInbound || m.cutOutbound) {
            list.add(Choice.of(Kind.HEAL, m.id));
        } else {
            list.add(Choice.of(Kind.CUT, m.id));
            list.add(Choice.of(Kind.CUT_INBOUND, m.id));
            list.add(Choice.of(Kind.CUT_OUTBOUND, m.id));
        }
        list.add(Choice.of(m.held ? Kind.RELEASE : Kind.HOLD, m.id));
    }

    private void addCrashChoices(final ModelMember m) {
        list.add(new Choice(Kind.CRASH, m.id, Choice.KEEP_NOTHING));
        if (m.hasUnsynced()) {
            list.add(new Choice(Kind.CRASH, m.id, Choice.KEEP_ALL));
            list.add(new Choice(Kind.CRASH, m.id, Choice.KEEP_FIRST));
        }
        if (mayLoseDisk(m)) {
            list.add(Choice.of(Kind.WIPE, m.id));
        }
    }

    /** The group tolerates one lost disk; the next may be lost only once every voter has a full replica again. */
    private boolean mayLoseDisk(final ModelMember m) {
        int wipes = 0;
        for (final ModelMember other : world.members) {
            wipes += other.wipes;
            if (other != m && isVoter(other) && (!other.alive || other.rebuildUntil > 0 || other.group.lost())) {
                return false;
            }
        }
        return isVoter(m) && wipes < MAX_WIPES;
    }

    private boolean isVoter(final ModelMember m) {
        return Membership.find(world.placed.voters(), m.id) != null;
    }

    private void addLeaderChoices(final ModelMember leader) {
        final GroupMachine g = leader.group;
        if (!History.full(world.appended)) {
            list.add(Choice.of(Kind.APPEND, leader.id));
        }
        for (final Member voter : g.membership().voters()) {
            if (voter.node() != leader.id) {
                list.add(new Choice(Kind.HAND_OVER, leader.id, voter.node()));
            }
        }
        // Callers may change the membership only once the last change is committed and in the cluster metadata.
        if (g.membershipSettled()
                && world.placed.version() >= g.membership().version()
                && world.changes < MAX_MEMBERSHIP_CHANGES) {
            addMembershipChoices(leader);
        }
    }

    private void addMembershipChoices(final ModelMember leader) {
        final Membership current = leader.group.membership();
        for (final ModelMember m : world.members) {
            if (!current.holds(m.id)) {
                list.add(new Choice(Kind.ADD_LEARNER, leader.id, m.id));
            } else if (Membership.find(current.learners(), m.id) != null) {
                if (leader.group.learnerSyncedIndex(m.id) >= leader.group.committed()) {
                    list.add(new Choice(Kind.PROMOTE, leader.id, m.id));
                }
            } else if (m != leader && current.voters().size() > MIN_VOTERS) {
                list.add(new Choice(Kind.REMOVE, leader.id, m.id));
            }
        }
    }
}
