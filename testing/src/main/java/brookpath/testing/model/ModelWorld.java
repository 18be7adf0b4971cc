package brookpath.testing.model;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.action.Action;
import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.group.Member;
import brookpath.coordination.group.Membership;
import brookpath.coordination.message.PeerMessage;
import brookpath.state.record.LogRecord;
import brookpath.testing.sim.ActionObserver;
import java.util.ArrayList;
import java.util.List;

/** All members of one group, the messages in flight and the time. Changes only by the choices applied to it. */
final class ModelWorld {
    /** A message that was sent and is neither delivered nor lost yet; a delayed one waits for a step to deliver it. */
    record InFlight(int from, int to, PeerMessage message, boolean delayed) {
        InFlight asDelayed() {
            return new InFlight(from, to, message, true);
        }

        boolean isHeartbeat() {
            return message instanceof PeerMessage.Heartbeat;
        }
    }

    static final int WEIGHT = 50;
    private static final long START_MS = 1_000;
    private static final int MAX_IN_FLIGHT = 400;
    private static final int SKEW_STEP_MS = 25;

    final List<ModelMember> members = new ArrayList<>();
    final List<InFlight> inFlight = new ArrayList<>();
    final Invariants invariants = new Invariants(this);
    /** Observes the actions of all members. */
    ActionObserver observer = ActionObserver.NONE;

    long now = START_MS;
    Membership placed;
    int appended;
    int changes;

    ModelWorld(final int voters, final int spares, final long retentionMs) {
        final List<Member> first = new ArrayList<>();
        for (int id = 1; id <= voters + spares; id++) {
            members.add(new ModelMember(id, voters + spares, retentionMs));
            if (id <= voters) {
                first.add(groupMember(id));
            }
        }
        placed = new Membership(1, first, List.of());
        for (final ModelMember m : members) {
            m.start(placed, m.id <= voters, now);
            execute(m);
            // a group counts as founded only once every founder has synced its founding entry
            sync(m, m.entries.size());
        }
    }

    static Member groupMember(final int id) {
        return new Member(id, WEIGHT, "");
    }

    ModelMember member(final int id) {
        return members.get(id - 1);
    }

    long clock(final ModelMember m) {
        return now + m.skewMs;
    }

    ModelMember actingLeader() {
        for (final ModelMember m : members) {
            if (m.runs() && m.group.mayAct(clock(m))) {
                return m;
            }
        }
        return null;
    }

    void apply(final Choice choice) {
        final ModelMember m =
                choice.member() >= 1 && choice.member() <= members.size() ? member(choice.member()) : null;
        switch (choice.kind()) {
            case RUN -> run(choice.detail());
            case DELIVER -> deliver(inFlight.remove(choice.member()));
            case DELAY ->
                inFlight.set(choice.member(), inFlight.get(choice.member()).asDelayed());
            case DUPLICATE -> inFlight.add(inFlight.get(choice.member()).asDelayed());
            case TICK -> tickOnly(m);
            case DROP -> inFlight.remove(choice.member());
            case SYNC -> sync(m, choice.detail() == Choice.KEEP_FIRST ? m.syncedEntries + 1 : m.entries.size());
            case APPEND -> append(m);
            case ADD_LEARNER, PROMOTE, REMOVE -> change(m, choice);
            case HAND_OVER -> event(m, () -> m.group.transferLeadership(choice.detail(), clock(m)));
            default -> applyFault(m, choice);
        }
        invariants.afterChoice();
    }

    private void applyFault(final ModelMember m, final Choice choice) {
        switch (choice.kind()) {
            case STALL_DISK -> m.diskStalled = true;
            case RESUME_DISK -> m.diskStalled = false;
            case CRASH -> crash(m, choice.detail());
            case RESTART -> restart(m);
            case WIPE -> wipe(m);
            case CUT -> cut(m, true, true);
            case CUT_INBOUND -> cut(m, true, false);
            case CUT_OUTBOUND -> cut(m, false, true);
            case HEAL -> cut(m, false, false);
            case FREEZE -> m.frozen = true;
            case THAW -> m.frozen = false;
            case HOLD -> m.held = true;
            case RELEASE -> m.held = false;
            case SKEW -> m.skewMs += SKEW_STEP_MS;
            default -> throw new IllegalArgumentException(choice.toString());
        }
    }

    private static void cut(final ModelMember m, final boolean inbound, final boolean outbound) {
        m.cutInbound = inbound;
        m.cutOutbound = outbound;
    }

    private void crash(final ModelMember m, final int kept) {
        m.crash(kept);
        // A dying process closes its connections, so messages to it are lost; what it has sent may still arrive.
        inFlight.removeIf(f -> f.to == m.id);
    }

    private void restart(final ModelMember m) {
        m.start(placed, false, clock(m));
        execute(m);
        invariants.afterEvent(m);
    }

    private void wipe(final ModelMember m) {
        invariants.beforeWipe(m);
        crash(m, Choice.KEEP_NOTHING);
        m.wipe();
    }

    private void append(final ModelMember m) {
        event(m, () -> {
            final String text = "r" + ++appended;
            final byte[] body = LogRecord.publishBody(appended, 0, "t", "s/t", "sender", text);
            invariants.history.invoked(appended, m, m.group.append(LogRecord.PUBLISH, body, clock(m), now));
        });
    }

    private void change(final ModelMember m, final Choice choice) {
        changes++;
        final Membership next = MembershipSteps.next(m.group.membership(), choice);
        if (choice.kind() == Choice.Kind.PROMOTE) {
            invariants.beforePromotion(m, member(choice.detail()));
        }
        event(m, () -> m.group.change(next, clock(m), now));
    }

    void run(final int milliseconds) {
        final long end = now + milliseconds;
        deliverAndSyncAll();
        while (now < end) {
            now = Math.min(end, now + TimingBounds.DEFAULT.tick());
            invariants.afterTime();
            for (final ModelMember m : members) {
                if (m.runs()) {
                    tick(m);
                }
            }
            deliverAndSyncAll();
        }
    }

    private void tickOnly(final ModelMember m) {
        now += TimingBounds.DEFAULT.tick();
        invariants.afterTime();
        tick(m);
    }

    private void tick(final ModelMember m) {
        updatePlacement(m);
        event(m, () -> {
            m.heartbeats.tick(clock(m), m.heartbeatOut);
            m.group.tick(clock(m), m.heartbeats.table());
        });
    }

    /** Updates the cluster metadata to the newest committed membership, and configures the member from it. */
    private void updatePlacement(final ModelMember m) {
        final GroupMachine g = m.group;
        if (g.mayAct(clock(m))
                && g.hasMembershipInLog()
                && g.membershipSettled()
                && g.membership().version() > placed.version()) {
            placed = g.membership();
        }
        if (placed.version() > m.configuredVersion) {
            applyPlacement(m);
        }
    }

    /** As a data node does: opens a group that is placed on it and drops one that no longer is. */
    private void applyPlacement(final ModelMember m) {
        if (placed.holds(m.id)) {
            m.configure(placed, clock(m));
        } else if (m.group.groupVersion() > 0 && m.group.groupVersion() <= placed.version()) {
            invariants.beforeWipe(m);
            m.eraseDisk();
            restart(m);
        }
    }

    /** Delivers messages and syncs disks until nothing more can be delivered or synced. */
    private void deliverAndSyncAll() {
        boolean progressed = true;
        for (int round = 0; progressed && round < MAX_IN_FLIGHT; round++) {
            progressed = false;
            final List<InFlight> batch = new ArrayList<>(inFlight);
            inFlight.clear();
            for (final InFlight f : batch) {
                if (isHeldBack(f)) {
                    inFlight.add(f);
                } else {
                    deliver(f);
                    progressed = true;
                }
            }
            for (final ModelMember m : members) {
                if (m.runs() && !m.diskStalled && m.hasUnsynced()) {
                    sync(m, m.entries.size());
                    progressed = true;
                }
            }
        }
    }

    private boolean isHeldBack(final InFlight f) {
        final ModelMember to = member(f.to);
        return to.alive && (f.delayed || to.frozen || (to.held && !f.isHeartbeat()));
    }

    private void deliver(final InFlight f) {
        final ModelMember to = member(f.to);
        if (!to.runs() || to.cutInbound || member(f.from).cutOutbound) {
            return;
        }
        event(to, () -> {
            if (f.message instanceof PeerMessage.Heartbeat heartbeat) {
                to.heartbeats.onHeartbeat(f.from, heartbeat, clock(to), to.heartbeatOut);
                to.group.tick(clock(to), to.heartbeats.table());
            } else {
                to.group.on(f.from, f.message, clock(to));
            }
        });
    }

    private void sync(final ModelMember m, final int upTo) {
        final long number = m.sync(upTo);
        event(m, () -> m.group.synced(number, clock(m)));
    }

    private void event(final ModelMember m, final Runnable event) {
        m.heartbeats.setOwnEntries(List.of(m.group.entry(clock(m))));
        event.run();
        execute(m);
        invariants.afterEvent(m);
    }

    private void execute(final ModelMember m) {
        boolean heartbeatNow = false;
        final List<Action> actions = new ArrayList<>(m.out.drain());
        actions.addAll(m.heartbeatOut.drain());
        for (final Action action : actions) {
            observer.observe(now, m.id, action);
            if (action instanceof Action.Send send) {
                invariants.onSend(m, send.node(), send.message());
                send(m, send);
            } else if (action instanceof Action.Write write) {
                m.entries.add(write.entry());
            } else if (action instanceof Action.WriteAll writes) {
                writes.entries().forEach(entry -> m.entries.add(entry.toByteArray()));
            } else if (action instanceof Action.Note note && note.isError()) {
                throw new Violation(note.text());
            }
            heartbeatNow |= action instanceof Action.HeartbeatNow;
        }
        if (heartbeatNow) {
            m.heartbeats.setOwnEntries(List.of(m.group.entry(clock(m))));
            m.heartbeats.heartbeatNow(clock(m), m.heartbeatOut);
            execute(m);
        }
    }

    private void send(final ModelMember m, final Action.Send send) {
        if (!m.cutOutbound && member(send.node()).alive && inFlight.size() < MAX_IN_FLIGHT) {
            inFlight.add(new InFlight(m.id, send.node(), send.message(), false));
        }
    }
}
