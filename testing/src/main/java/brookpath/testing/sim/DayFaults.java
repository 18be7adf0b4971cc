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
 * Injects the faults of a simulated day. A fault takes a machine down only while all other machines of its role are
 * healthy, because the users must survive the loss of one machine at a time; a blackout takes all down at once.
 */
final class DayFaults {
    private static final int MAX_WRONG_CLOCKS = 2;
    private static final long USUAL_SYNC_MS = 2;

    private final SimulatedCluster cluster;
    private long drainingUntil;
    /** Whether the faults are over; steps of a fault that are still scheduled then take no machine down. */
    private boolean ended;

    DayFaults(final SimulatedCluster cluster) {
        this.cluster = cluster;
        cluster.mayCrash = p -> {
            final boolean may = !ended && peersHealthy(p);
            if (may) {
                scheduleRestart(p, 300 + cluster.random.nextLong(3_000));
            }
            return may;
        };
    }

    /** Ends all faults and restarts every machine that is not gone for good. */
    void endFaults() {
        ended = true;
        cluster.armed = null;
        cluster.net.linkLoss.clear();
        cluster.net.heal();
        cluster.net.lossPerThousand = 0;
        cluster.net.extraDelay = 0;
        for (final SimulatedProcess p : cluster.processes.values()) {
            p.syncMs = USUAL_SYNC_MS;
            if (p.disk != null) {
                p.disk.full(false);
            }
            p.frozenUntil = Math.min(p.frozenUntil, cluster.now());
            if (!p.goneForGood) {
                cluster.restart(p);
            }
        }
    }

    /** Removes a machine for good, with its disk: a controller or a process that leads a group. */
    void loseMachineForGood() {
        SimulatedProcess p = null;
        for (int i = 0; i < 200 && (p == null || !peersHealthy(p)); i++) {
            // waits for the machine that the last fault took down, so that no two are out at once
            cluster.run(cluster.now() + 100);
            p = cluster.random.nextInt(3) == 0 ? randomProcess(cluster.controllers) : randomLeader();
        }
        if (p != null && peersHealthy(p)) {
            cluster.count("gone for good");
            p.goneForGood = true;
            cluster.kill(p, true);
            p.disk.wipe();
            cluster.run(cluster.now() + 1_000);
        }
    }

    /** Injects one fault of this kind. */
    void causeFault(final Fault fault) {
        final SimulatedProcess p = target();
        final long durationMs = 300 + cluster.random.nextLong(5_000);
        switch (fault) {
            case KILL -> takeDown(p, false, durationMs, () -> {});
            case POWER -> takeDown(p, true, durationMs, () -> {});
            case OWNER_DIES -> takeDown(randomLeader(), cluster.random.nextBoolean(), durationMs, () -> {});
            case DISK_LOST -> loseDisk(p, durationMs);
            case CORRUPT -> corrupt(p, durationMs);
            case SYNC_FAILS -> failSyncs(p, durationMs);
            case FREEZE -> freeze(p, durationMs);
            case CUT -> cut(p, true, durationMs);
            case ONE_WAY -> cut(p, false, durationMs);
            case LOSS -> losePackets(durationMs);
            case SLOW_NET -> slowNetwork(durationMs);
            case SLOW_DISK -> slowDisk(p, durationMs);
            case CLOCK -> skewClock(p);
            case BLACKOUT -> blackout();
            case PLATFORM -> disturbPlatform(durationMs);
            case RESETS -> cluster.callers.resetAll();
            case FULL_DISK -> fillDisk(p, durationMs);
            case STALLS -> stallDisksInTurn();
            case LINK_LOSS -> loseLinks(p, durationMs);
            case RETIRE -> retireTemporarily(durationMs);
            case SWITCHOVER -> switchover();
            case DRAIN -> drainTemporarily(durationMs);
            case GATEWAYS_RESTART -> restartGateways();
            case RACE -> raceWhileLeaderDies(durationMs);
            case ROT -> damageReplica(p);
            case LAST_ACT -> armCrashPoint();
            case ROLLING -> restartAllInTurn();
        }
        cluster.count("faults");
    }

    private void loseDisk(final SimulatedProcess p, final long durationMs) {
        if (p.disk != null) {
            takeDown(p, true, durationMs, p.disk::wipe);
        }
    }

    private void corrupt(final SimulatedProcess p, final long durationMs) {
        if (p.disk != null) {
            takeDown(p, false, durationMs, () -> {
                if (p.disk.corrupt(cluster.random)) {
                    cluster.count("corruptions");
                }
            });
        }
    }

    private void failSyncs(final SimulatedProcess p, final long durationMs) {
        if (p.disk != null && peersHealthy(p)) {
            p.disk.failing(true);
            scheduleRestart(p, durationMs + 1_000);
            cluster.at(cluster.now() + durationMs, () -> p.disk.failing(false));
        }
    }

    private void freeze(final SimulatedProcess p, final long durationMs) {
        if (peersHealthy(p)) {
            cluster.count("freezes");
            cluster.freeze(p, durationMs);
        }
    }

    private void cut(final SimulatedProcess p, final boolean bothWays, final long durationMs) {
        cluster.count("cuts");
        final List<Integer> from = new ArrayList<>();
        for (final SimulatedProcess other : cluster.processes.values()) {
            if (other != p && cluster.random.nextInt(3) > 0) {
                from.add(other.id);
                cluster.net.cut(p.id, other.id);
                if (bothWays) {
                    cluster.net.cut(other.id, p.id);
                }
            }
        }
        cluster.note(p.id, (bothWays ? "is cut off from " : "is not heard by ") + from + " for " + durationMs, false);
        cluster.at(cluster.now() + durationMs, cluster.net::heal);
    }

    private void losePackets(final long durationMs) {
        cluster.net.lossPerThousand = 5 + cluster.random.nextInt(30);
        cluster.at(cluster.now() + durationMs, () -> cluster.net.lossPerThousand = 0);
    }

    private void slowNetwork(final long durationMs) {
        cluster.net.extraDelay = 5L + cluster.random.nextInt(60);
        cluster.at(cluster.now() + durationMs, () -> cluster.net.extraDelay = 0);
    }

    private void slowDisk(final SimulatedProcess p, final long durationMs) {
        p.syncMs = 20L + cluster.random.nextInt(800);
        cluster.at(cluster.now() + durationMs, () -> p.syncMs = USUAL_SYNC_MS);
    }

    private void skewClock(final SimulatedProcess p) {
        // the time of day is taken from the majority of clocks, so a few wrong ones must not matter on any process
        final List<SimulatedProcess> wrong = new ArrayList<>(
                cluster.processes.values().stream().filter(o -> o.skew != 0).toList());
        if (wrong.size() >= MAX_WRONG_CLOCKS) {
            randomProcess(wrong.stream().map(o -> o.id).toList()).skew = 0;
        }
        p.skew = cluster.random.nextLong(120_000) - 60_000;
        cluster.count("wrong clocks");
    }

    private void blackout() {
        // only synced bytes count as written, so a power loss of all machines at once loses nothing committed
        cluster.count("blackouts");
        for (final SimulatedProcess each : cluster.processes.values()) {
            cluster.kill(each, true);
            scheduleRestart(each, 200 + cluster.random.nextInt(1_500));
        }
    }

    private void disturbPlatform(final long durationMs) {
        cluster.count("platform disturbances");
        cluster.platform.disturb(durationMs * (cluster.random.nextInt(3) == 0 ? 8 : 2), cluster.random.nextBoolean());
    }

    private void fillDisk(final SimulatedProcess p, final long durationMs) {
        if (p.disk != null && peersHealthy(p)) {
            cluster.count("full disks");
            p.disk.full(true);
            // the service manager restarts the process again and again, whether the disk is still full or not
            for (long at = 1_000; at < durationMs; at += 1_000) {
                scheduleRestart(p, at);
            }
            cluster.at(cluster.now() + durationMs, () -> p.disk.full(false));
            scheduleRestart(p, durationMs + 500);
        }
    }

    private void stallDisksInTurn() {
        long at = 0;
        for (final SimulatedProcess each : cluster.processes.values()) {
            if (each.disk != null) {
                cluster.at(cluster.now() + at, () -> each.syncMs = ended ? USUAL_SYNC_MS : 600);
                at += 700;
                cluster.at(cluster.now() + at, () -> each.syncMs = USUAL_SYNC_MS);
            }
        }
    }

    private void loseLinks(final SimulatedProcess p, final long durationMs) {
        for (int i = 0; i < 4; i++) {
            final SimulatedProcess to = randomProcess(new ArrayList<>(cluster.processes.keySet()));
            cluster.net.linkLoss.put(SimulatedNetwork.link(p.id, to.id), 50 + cluster.random.nextInt(250));
        }
        cluster.at(cluster.now() + durationMs, cluster.net.linkLoss::clear);
    }

    private void retireTemporarily(final long durationMs) {
        final int node = randomProcess(cluster.storages).id;
        cluster.callers.operators.operate(
                "retire", PackedBuffer.writer().putLong(node).putLong(1).toByteArray());
        cluster.at(
                cluster.now() + 3 * durationMs,
                () -> cluster.callers.operators.operate(
                        "retire", PackedBuffer.writer().putLong(node).putLong(0).toByteArray()));
    }

    private void switchover() {
        cluster.callers.operators.operate(
                "handover",
                PackedBuffer.writer()
                        .putLong(cluster.random.nextInt(cluster.groups))
                        .putLong(randomProcess(cluster.storages).id)
                        .toByteArray());
    }

    private void drainTemporarily(final long durationMs) {
        // draining all gateways at once takes the service down by request, which is no fault to survive
        if (cluster.now() >= drainingUntil) {
            final SimulatedProcess gateway = randomProcess(cluster.gateways);
            drainingUntil = cluster.now() + 2 * durationMs + 1_000;
            cluster.callers.ask(gateway, id -> new NodeRequest.Drain(id, true), r -> cluster.count("drains"));
            cluster.at(
                    cluster.now() + 2 * durationMs,
                    () -> cluster.callers.ask(gateway, id -> new NodeRequest.Drain(id, false), r -> {}));
        }
    }

    private void restartGateways() {
        cluster.count("all gateways restarted");
        for (final int id : cluster.gateways) {
            cluster.at(cluster.now() + cluster.random.nextInt(200), () -> {
                if (!ended) {
                    cluster.kill(cluster.processes.get(id), false);
                    scheduleRestart(cluster.processes.get(id), 400);
                }
            });
        }
    }

    private void raceWhileLeaderDies(final long durationMs) {
        cluster.callers.operators.race();
        cluster.at(
                cluster.now() + 3 + cluster.random.nextInt(30),
                () -> takeDown(controlLeader(), cluster.random.nextBoolean(), durationMs, () -> {}));
    }

    private void damageReplica(final SimulatedProcess p) {
        // one replica on a running machine is damaged, on its disk or in memory
        if (p.disk != null && peersHealthy(p) && cluster.random.nextInt(3) == 0) {
            cluster.count(p.disk.corrupt(cluster.random) ? "damaged disks" : "no data to damage");
        } else if (p.node() instanceof StorageNode s && peersHealthy(p)) {
            final GroupMachine g = s.group(cluster.random.nextInt(cluster.groups));
            if (g != null && g.committed() > g.baseIndex()) {
                final byte[] logRecord = g.logRecord(
                                g.baseIndex() + 1 + cluster.random.nextLong(g.committed() - g.baseIndex()))
                        .bytes();
                final int at = logRecord.length - 1 - cluster.random.nextInt(8);
                logRecord[at] = (byte) (logRecord[at] ^ 1 << cluster.random.nextInt(8));
                cluster.count("damaged records");
            }
        }
    }

    private void armCrashPoint() {
        final List<CrashPoint> points = List.of(CrashPoint.values());
        cluster.armed = points.get(cluster.random.nextInt(points.size()));
    }

    private void restartAllInTurn() {
        cluster.count("rolling restarts");
        long at = 0;
        for (final SimulatedProcess each : cluster.processes.values()) {
            at += 1_500;
            cluster.at(cluster.now() + at, () -> takeDown(each, false, 700, () -> {}));
        }
    }

    private SimulatedProcess randomProcess(final List<Integer> ids) {
        return cluster.processes.get(ids.get(cluster.random.nextInt(ids.size())));
    }

    private SimulatedProcess target() {
        final int kind = cluster.random.nextInt(10);
        return kind < 6
                ? randomProcess(cluster.storages)
                : kind < 8 ? randomProcess(cluster.controllers) : randomProcess(cluster.gateways);
    }

    private boolean peersHealthy(final SimulatedProcess p) {
        final List<Integer> peers = cluster.controllers.contains(p.id)
                ? cluster.controllers
                : cluster.storages.contains(p.id) ? cluster.storages : cluster.gateways;
        for (final int id : peers) {
            final SimulatedProcess other = cluster.processes.get(id);
            if (id != p.id && (!other.alive || other.frozen() || isRebuilding(other))) {
                return false;
            }
        }
        return p.alive;
    }

    /** A member that is being rebuilt counts as out. */
    private boolean isRebuilding(final SimulatedProcess p) {
        if (p.node() instanceof StorageNode s) {
            for (int g = 0; g < cluster.groups; g++) {
                if (s.group(g) != null && s.group(g).lost()) {
                    return true;
                }
            }
        }
        return p.node() instanceof ControllerNode controller
                && controller.group().lost();
    }

    private void scheduleRestart(final SimulatedProcess p, final long after) {
        cluster.at(cluster.now() + after, () -> {
            if (!p.goneForGood) {
                cluster.restart(p);
            }
        });
    }

    private void takeDown(
            final SimulatedProcess p, final boolean power, final long durationMs, final Runnable whileDown) {
        if (p == null || ended || !peersHealthy(p)) {
            return;
        }
        cluster.count(power ? "power losses" : "kills");
        cluster.kill(p, power);
        whileDown.run();
        scheduleRestart(p, durationMs);
    }

    private SimulatedProcess controlLeader() {
        for (final int id : cluster.controllers) {
            final SimulatedProcess p = cluster.processes.get(id);
            if (p.alive && !p.frozen() && ((ControllerNode) p.node()).group().mayAct(p.mono())) {
                return p;
            }
        }
        return null;
    }

    /** A random process that currently acts as leader of a group; null if there is none. */
    private SimulatedProcess randomLeader() {
        final List<SimulatedProcess> leaders = new ArrayList<>();
        for (final Map.Entry<Integer, SimulatedProcess> e : cluster.processes.entrySet()) {
            final SimulatedProcess p = e.getValue();
            if (p.alive && !p.frozen() && p.node() instanceof StorageNode s) {
                for (int g = 0; g < cluster.groups; g++) {
                    if (s.group(g) != null && s.group(g).mayAct(p.mono())) {
                        leaders.add(p);
                    }
                }
            } else if (p.alive
                    && !p.frozen()
                    && p.node() instanceof ControllerNode controller
                    && controller.group().mayAct(p.mono())) {
                leaders.add(p);
            }
        }
        return leaders.isEmpty() ? null : leaders.get(cluster.random.nextInt(leaders.size()));
    }
}
