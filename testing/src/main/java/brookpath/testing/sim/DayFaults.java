package brookpath.testing.sim;

import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.node.ControllerNode;
import brookpath.coordination.node.NodeRequest;
import brookpath.coordination.node.StorageNode;
import brookpath.state.record.PackedBuffer;
import brookpath.testing.sim.SimulatedDay.Fault;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Brings failures about in a simulated day: never more than one storage machine and one controller out at a time, as
 * the users must survive.
 */
final class DayFaults {
    private static final int MAX_WRONG_CLOCKS = 2;
    private static final long USUAL_SYNC_MS = 2;

    private final SimulatedCluster world;
    private long drainingUntil;
    /** What a failure had still in store does not come any more. */
    private boolean over;

    DayFaults(final SimulatedCluster world) {
        this.world = world;
        world.mayCrash = p -> {
            final boolean may = !over && othersWell(p);
            if (may) {
                back(p, 300 + world.random.nextLong(3_000));
            }
            return may;
        };
    }

    /** Ends everything that is still broken, and brings back every machine that is not gone for good. */
    void end() {
        over = true;
        world.armed = null;
        world.net.linkLoss.clear();
        world.net.heal();
        world.net.lossPerMille = 0;
        world.net.extraDelay = 0;
        for (final SimulatedProcess p : world.processes.values()) {
            p.syncMs = USUAL_SYNC_MS;
            if (p.disk != null) {
                p.disk.full(false);
            }
            p.frozenUntil = Math.min(p.frozenUntil, world.now());
            if (!p.goneForGood) {
                world.restart(p);
            }
        }
    }

    /** One machine with a disk is lost with all it had, right after it acted, and never comes back. */
    void loseOne() {
        SimulatedProcess p = null;
        for (int i = 0; i < 200 && (p == null || !othersWell(p)); i++) {
            // why: never two at a time; the last failure's victim is waited for
            world.run(world.now() + 100);
            p = world.random.nextInt(3) == 0 ? any(world.controllers) : owner();
        }
        if (p != null && othersWell(p)) {
            world.count("gone for good");
            p.goneForGood = true;
            world.kill(p, true);
            p.disk.wipe();
            world.run(world.now() + 1_000);
        }
    }

    /** Brings about one failure of this kind. */
    void strike(final Fault fault) {
        final SimulatedProcess p = victim();
        final long span = 300 + world.random.nextLong(5_000);
        switch (fault) {
            case KILL -> down(p, false, span, () -> {});
            case POWER -> down(p, true, span, () -> {});
            case OWNER_DIES -> down(owner(), world.random.nextBoolean(), span, () -> {});
            case DISK_LOST -> loseDisk(p, span);
            case CORRUPT -> corrupt(p, span);
            case SYNC_FAILS -> failSyncs(p, span);
            case FREEZE -> freeze(p, span);
            case CUT -> cut(p, true, span);
            case ONE_WAY -> cut(p, false, span);
            case LOSS -> losePackets(span);
            case SLOW_NET -> slowNetwork(span);
            case SLOW_DISK -> slowDisk(p, span);
            case CLOCK -> setClockWrong(p);
            case BLACKOUT -> blackout();
            case PLATFORM -> troublePlatform(span);
            case RESETS -> world.callers.resetAll();
            case FULL_DISK -> fillDisk(p, span);
            case STALLS -> stallDisksInTurn();
            case LINK_LOSS -> loseLinks(p, span);
            case RETIRE -> retireForAWhile(span);
            case SWITCHOVER -> switchover();
            case DRAIN -> drainForAWhile(span);
            case GATEWAYS_RESTART -> restartGateways();
            case RACE -> raceWhileTheLeaderDies(span);
            case ROT -> rot(p);
            case LAST_ACT -> armCrashPoint();
            case ROLLING -> restartAllInTurn();
        }
        world.count("faults");
    }

    private void loseDisk(final SimulatedProcess p, final long span) {
        if (p.disk != null) {
            down(p, true, span, p.disk::wipe);
        }
    }

    private void corrupt(final SimulatedProcess p, final long span) {
        if (p.disk != null) {
            down(p, false, span, () -> {
                if (p.disk.corrupt(world.random)) {
                    world.count("corruptions");
                }
            });
        }
    }

    private void failSyncs(final SimulatedProcess p, final long span) {
        if (p.disk != null && othersWell(p)) {
            p.disk.failing(true);
            back(p, span + 1_000);
            world.at(world.now() + span, () -> p.disk.failing(false));
        }
    }

    private void freeze(final SimulatedProcess p, final long span) {
        if (othersWell(p)) {
            world.count("freezes");
            world.freeze(p, span);
        }
    }

    private void cut(final SimulatedProcess p, final boolean bothWays, final long span) {
        world.count("cuts");
        final List<Integer> from = new ArrayList<>();
        for (final SimulatedProcess other : world.processes.values()) {
            if (other != p && world.random.nextInt(3) > 0) {
                from.add(other.id);
                world.net.cut(p.id, other.id);
                if (bothWays) {
                    world.net.cut(other.id, p.id);
                }
            }
        }
        world.note(p.id, (bothWays ? "is cut off from " : "is not heard by ") + from + " for " + span, false);
        world.at(world.now() + span, world.net::heal);
    }

    private void losePackets(final long span) {
        world.net.lossPerMille = 5 + world.random.nextInt(30);
        world.at(world.now() + span, () -> world.net.lossPerMille = 0);
    }

    private void slowNetwork(final long span) {
        world.net.extraDelay = 5L + world.random.nextInt(60);
        world.at(world.now() + span, () -> world.net.extraDelay = 0);
    }

    private void slowDisk(final SimulatedProcess p, final long span) {
        p.syncMs = 20L + world.random.nextInt(800);
        world.at(world.now() + span, () -> p.syncMs = USUAL_SYNC_MS);
    }

    private void setClockWrong(final SimulatedProcess p) {
        // why: which clock is right is told by the most; a few wrong ones must not matter, wherever they are
        final List<SimulatedProcess> wrong = new ArrayList<>(
                world.processes.values().stream().filter(o -> o.skew != 0).toList());
        if (wrong.size() >= MAX_WRONG_CLOCKS) {
            any(wrong.stream().map(o -> o.id).toList()).skew = 0;
        }
        p.skew = world.random.nextLong(120_000) - 60_000;
        world.count("wrong clocks");
    }

    private void blackout() {
        // why: only synced bytes count, so even all machines losing power at once loses nothing committed
        world.count("blackouts");
        for (final SimulatedProcess each : world.processes.values()) {
            world.kill(each, true);
            back(each, 200 + world.random.nextInt(1_500));
        }
    }

    private void troublePlatform(final long span) {
        world.count("platform troubles");
        world.platform.trouble(span * (world.random.nextInt(3) == 0 ? 8 : 2), world.random.nextBoolean());
    }

    private void fillDisk(final SimulatedProcess p, final long span) {
        if (p.disk != null && othersWell(p)) {
            world.count("full disks");
            p.disk.full(true);
            // why: whoever looks after it starts it again and again, full or not
            for (long at = 1_000; at < span; at += 1_000) {
                back(p, at);
            }
            world.at(world.now() + span, () -> p.disk.full(false));
            back(p, span + 500);
        }
    }

    private void stallDisksInTurn() {
        long at = 0;
        for (final SimulatedProcess each : world.processes.values()) {
            if (each.disk != null) {
                world.at(world.now() + at, () -> each.syncMs = over ? USUAL_SYNC_MS : 600);
                at += 700;
                world.at(world.now() + at, () -> each.syncMs = USUAL_SYNC_MS);
            }
        }
    }

    private void loseLinks(final SimulatedProcess p, final long span) {
        for (int i = 0; i < 4; i++) {
            final SimulatedProcess to = any(new ArrayList<>(world.processes.keySet()));
            world.net.linkLoss.put(SimulatedNetwork.link(p.id, to.id), 50 + world.random.nextInt(250));
        }
        world.at(world.now() + span, world.net.linkLoss::clear);
    }

    private void retireForAWhile(final long span) {
        final int node = any(world.storages).id;
        world.callers.operators.operate(
                "retire", PackedBuffer.writer().putLong(node).putLong(1).toByteArray());
        world.at(
                world.now() + 3 * span,
                () -> world.callers.operators.operate(
                        "retire", PackedBuffer.writer().putLong(node).putLong(0).toByteArray()));
    }

    private void switchover() {
        world.callers.operators.operate(
                "handover",
                PackedBuffer.writer()
                        .putLong(world.random.nextInt(world.groups))
                        .putLong(any(world.storages).id)
                        .toByteArray());
    }

    private void drainForAWhile(final long span) {
        // why: who drains all gateways at once has asked for it
        if (world.now() >= drainingUntil) {
            final SimulatedProcess gateway = any(world.gateways);
            drainingUntil = world.now() + 2 * span + 1_000;
            world.callers.asked(gateway, id -> new NodeRequest.Drain(id, true), r -> world.count("drains"));
            world.at(
                    world.now() + 2 * span,
                    () -> world.callers.asked(gateway, id -> new NodeRequest.Drain(id, false), r -> {}));
        }
    }

    private void restartGateways() {
        world.count("all fronts restarted");
        for (final int id : world.gateways) {
            world.at(world.now() + world.random.nextInt(200), () -> {
                if (!over) {
                    world.kill(world.processes.get(id), false);
                    back(world.processes.get(id), 400);
                }
            });
        }
    }

    private void raceWhileTheLeaderDies(final long span) {
        world.callers.operators.race();
        world.at(
                world.now() + 3 + world.random.nextInt(30),
                () -> down(controlLeader(), world.random.nextBoolean(), span, () -> {}));
    }

    private void rot(final SimulatedProcess p) {
        // why: one copy goes bad on a running machine, on its disk or in its memory
        if (p.disk != null && othersWell(p) && world.random.nextInt(3) == 0) {
            world.count(p.disk.corrupt(world.random) ? "rotten disks" : "no rot");
        } else if (p.node() instanceof StorageNode s && othersWell(p)) {
            final GroupMachine g = s.group(world.random.nextInt(world.groups));
            if (g != null && g.committed() > g.baseIndex()) {
                final byte[] logRecord = g.logRecord(
                                g.baseIndex() + 1 + world.random.nextLong(g.committed() - g.baseIndex()))
                        .bytes();
                final int at = logRecord.length - 1 - world.random.nextInt(8);
                logRecord[at] = (byte) (logRecord[at] ^ 1 << world.random.nextInt(8));
                world.count("rotten records");
            }
        }
    }

    private void armCrashPoint() {
        final List<CrashPoint> points = List.of(CrashPoint.values());
        world.armed = points.get(world.random.nextInt(points.size()));
    }

    private void restartAllInTurn() {
        world.count("rolling restarts");
        long at = 0;
        for (final SimulatedProcess each : world.processes.values()) {
            at += 1_500;
            world.at(world.now() + at, () -> down(each, false, 700, () -> {}));
        }
    }

    private SimulatedProcess any(final List<Integer> of) {
        return world.processes.get(of.get(world.random.nextInt(of.size())));
    }

    private SimulatedProcess victim() {
        final int kind = world.random.nextInt(10);
        return kind < 6 ? any(world.storages) : kind < 8 ? any(world.controllers) : any(world.gateways);
    }

    private boolean othersWell(final SimulatedProcess p) {
        final List<Integer> kin = world.controllers.contains(p.id)
                ? world.controllers
                : world.storages.contains(p.id) ? world.storages : world.gateways;
        for (final int id : kin) {
            final SimulatedProcess other = world.processes.get(id);
            if (id != p.id && (!other.alive || other.frozen() || sick(other))) {
                return false;
            }
        }
        return p.alive;
    }

    /** A member that is being rebuilt is out, too. */
    private boolean sick(final SimulatedProcess p) {
        if (p.node() instanceof StorageNode s) {
            for (int g = 0; g < world.groups; g++) {
                if (s.group(g) != null && s.group(g).lost()) {
                    return true;
                }
            }
        }
        return p.node() instanceof ControllerNode b && b.group().lost();
    }

    private void back(final SimulatedProcess p, final long after) {
        world.at(world.now() + after, () -> {
            if (!p.goneForGood) {
                world.restart(p);
            }
        });
    }

    private void down(final SimulatedProcess p, final boolean power, final long span, final Runnable meanwhile) {
        if (p == null || over || !othersWell(p)) {
            return;
        }
        world.count(power ? "power losses" : "kills");
        world.kill(p, power);
        meanwhile.run();
        back(p, span);
    }

    private SimulatedProcess controlLeader() {
        for (final int id : world.controllers) {
            final SimulatedProcess p = world.processes.get(id);
            if (p.alive && !p.frozen() && ((ControllerNode) p.node()).group().mayAct(p.mono())) {
                return p;
            }
        }
        return null;
    }

    /** A member that leaders something just now. */
    private SimulatedProcess owner() {
        final List<SimulatedProcess> owners = new ArrayList<>();
        for (final Map.Entry<Integer, SimulatedProcess> e : world.processes.entrySet()) {
            final SimulatedProcess p = e.getValue();
            if (p.alive && !p.frozen() && p.node() instanceof StorageNode s) {
                for (int g = 0; g < world.groups; g++) {
                    if (s.group(g) != null && s.group(g).mayAct(p.mono())) {
                        owners.add(p);
                    }
                }
            } else if (p.alive
                    && !p.frozen()
                    && p.node() instanceof ControllerNode b
                    && b.group().mayAct(p.mono())) {
                owners.add(p);
            }
        }
        return owners.isEmpty() ? null : owners.get(world.random.nextInt(owners.size()));
    }
}
