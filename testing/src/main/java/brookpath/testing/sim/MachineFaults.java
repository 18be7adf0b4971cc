package brookpath.testing.sim;

import brookpath.coordination.node.NodeRequest;
import brookpath.testing.oracle.control.ControlHistory;
import java.util.List;

/**
 * Takes machines down, cuts them off and replaces them. A machine is out while it is down, frozen, slowed or cut off,
 * and for {@link #CATCH_UP_MS} after that. A fault that takes out a counted machine, which is one with a disk, may only
 * begin once {@link #allBack()}.
 */
final class MachineFaults {
    /** How long a machine stays out after it is back, or after its start if it is new. */
    static final long CATCH_UP_MS = 4_000;

    private static final long REPLACEMENT_GAP_MS = 1_000;
    private static final long GRACEFUL_SHUTDOWN_MS = 500;
    private static final long DISK_SYNC_MS = 2;
    private static final long REPEATED_RESTART_DOWN_MS = 200;
    private static final long RESTART_PERIOD_MS = 1_000;

    private final SimulatedCluster cluster;
    private final ControlFleet fleet;
    private final ControlHistory history;
    private final ControlCall calls;
    private long outUntil;

    MachineFaults(
            final SimulatedCluster cluster,
            final ControlFleet fleet,
            final ControlHistory history,
            final ControlCall calls) {
        this.cluster = cluster;
        this.fleet = fleet;
        this.history = history;
        this.calls = calls;
    }

    /** Whether all counted machines are back. */
    boolean allBack() {
        return cluster.now() >= outUntil;
    }

    long outUntil() {
        return outUntil;
    }

    /** Marks a machine as out for this long and until it has then caught up. */
    private void markOut(final SimulatedProcess process, final long durationMs) {
        final long backAt = cluster.now() + durationMs;
        outUntil = Math.max(outUntil, backAt + CATCH_UP_MS);
        disturb();
        cluster.at(backAt, this::disturb);
        history.availability.exempt(process.id, backAt);
    }

    /** Tells the availability oracle that the control plane is disturbed now. */
    void disturb() {
        history.availability.disturb(cluster.now());
    }

    // ---- machines down and restarted

    void takeDown(final SimulatedProcess process, final boolean powerLoss, final long durationMs) {
        markOut(process, durationMs);
        cluster.kill(process, powerLoss);
        cluster.at(cluster.now() + durationMs, () -> restart(process));
    }

    /** Starts a process that is not running, unless it is gone for good by now. */
    private void restart(final SimulatedProcess process) {
        if (!process.goneForGood) {
            cluster.restart(process);
        }
    }

    void wipe(final SimulatedProcess process, final long durationMs) {
        takeDown(process, true, durationMs);
        process.disk.wipe();
    }

    /**
     * Restarts a controller several times in a row, each time with the time of day of its previous start, as a machine
     * without a clock battery does. A gateway is frozen meanwhile, so that changes wait for its lease to expire and are
     * in progress at each restart.
     */
    void restartWithRepeatedClock(
            final SimulatedProcess controller, final SimulatedProcess gateway, final int restarts, final long upMs) {
        final long skew = controller.skew;
        cluster.freeze(gateway, restarts * (REPEATED_RESTART_DOWN_MS + upMs));
        for (int i = 0; i < restarts; i++) {
            cluster.at(cluster.now() + i * (REPEATED_RESTART_DOWN_MS + upMs), () -> {
                controller.skew -= cluster.now() + REPEATED_RESTART_DOWN_MS - fleet.startedAt(controller);
                takeDown(controller, false, REPEATED_RESTART_DOWN_MS);
            });
        }
        final long durationMs = restarts * (REPEATED_RESTART_DOWN_MS + upMs);
        markOut(controller, durationMs);
        cluster.at(cluster.now() + durationMs, () -> controller.skew = skew);
    }

    void freeze(final SimulatedProcess process, final long durationMs) {
        markOut(process, durationMs);
        cluster.freeze(process, durationMs);
    }

    /** Takes all counted machines, or all machines, down at once; they come back one by one. */
    void takeAllDown(final boolean powerLoss, final boolean gatewaysToo) {
        final List<SimulatedProcess> all = gatewaysToo ? List.copyOf(cluster.processes.values()) : fleet.counted();
        for (final SimulatedProcess process : all) {
            if (!process.goneForGood) {
                takeDown(process, powerLoss, 200 + cluster.random.nextLong(1_500));
            }
        }
    }

    void rollingRestart(final long downMs) {
        long at = 0;
        for (final SimulatedProcess process : fleet.controllers()) {
            cluster.at(cluster.now() + at, () -> takeDown(process, false, downMs));
            at += downMs + CATCH_UP_MS;
        }
        outUntil = Math.max(outUntil, cluster.now() + at);
    }

    // ---- network cuts

    /** Directions in which a machine's links are cut. */
    enum Direction {
        BOTH,
        SENDING,
        HEARING
    }

    void cut(
            final SimulatedProcess process,
            final List<SimulatedProcess> from,
            final Direction direction,
            final long durationMs) {
        markOut(process, durationMs);
        exemptThoseCutFromCore(from, durationMs);
        cluster.note(process.id, "is cut off, " + direction + ", for " + durationMs, false);
        for (final SimulatedProcess other : from) {
            if (direction != Direction.HEARING) {
                cluster.net.cut(process.id, other.id);
            }
            if (direction != Direction.SENDING) {
                cluster.net.cut(other.id, process.id);
            }
        }
        cluster.at(cluster.now() + durationMs, cluster.net::heal);
    }

    /**
     * Exempts the controllers on the other side of a cut. Where the process is still connected to more than half of the
     * controllers, it belongs to the core, and a controller counts as in touch only if it reaches all of the core.
     */
    private void exemptThoseCutFromCore(final List<SimulatedProcess> from, final long durationMs) {
        final List<SimulatedProcess> cut =
                from.stream().filter(fleet::isController).toList();
        if (2 * (fleet.controllers().size() - cut.size()) > fleet.controllers().size()) {
            cut.forEach(other -> history.availability.exempt(other.id, cluster.now() + durationMs));
        }
    }

    void cutIncludingCallers(final SimulatedProcess process, final long durationMs) {
        cut(process, others(process, List.copyOf(cluster.processes.values())), Direction.BOTH, durationMs);
        calls.unreachable.add(process.id);
        cluster.at(cluster.now() + durationMs, () -> calls.unreachable.remove(process.id));
    }

    List<SimulatedProcess> others(final SimulatedProcess process, final List<SimulatedProcess> all) {
        return all.stream().filter(other -> other != process).toList();
    }

    // ---- replacement

    /** Removes a machine for good and starts an empty one with another node number. */
    void replace(final SimulatedProcess gone) {
        final boolean controller = fleet.isController(gone);
        remove(gone);
        final SimulatedProcess next = controller ? fleet.addController(gone.zone) : fleet.addStorage(gone.zone);
        fleet.seedCurrentControllers();
        markOut(next, REPLACEMENT_GAP_MS);
        cluster.note(next.id, "is to replace node " + gone.id, false);
        cluster.at(cluster.now() + REPLACEMENT_GAP_MS, next::start);
    }

    /** Starts a new controller first, then shuts the old one down gracefully and removes it. */
    void replaceAnnounced(final SimulatedProcess gone) {
        final SimulatedProcess next = fleet.addController(gone.zone);
        fleet.seedCurrentControllers();
        next.start();
        markOut(next, CATCH_UP_MS);
        cluster.note(next.id, "is to replace node " + gone.id + ", announced", false);
        cluster.at(cluster.now() + CATCH_UP_MS, () -> {
            markOut(gone, GRACEFUL_SHUTDOWN_MS);
            cluster.callers.ask(
                    gone, NodeRequest.GracefulShutdown::new, response -> cluster.count("control: graceful shutdowns"));
            cluster.at(cluster.now() + GRACEFUL_SHUTDOWN_MS, () -> {
                remove(gone);
                fleet.seedCurrentControllers();
            });
        });
    }

    /** Removes a machine for good. */
    void remove(final SimulatedProcess gone) {
        disturb();
        if (!fleet.isController(gone)) {
            history.retirements.removed(fleet.name(gone.id));
        }
        fleet.remove(gone);
    }

    /** Starts an empty machine with the node number of one that is gone. */
    void reuseAddress(final SimulatedProcess gone) {
        markOut(gone, REPLACEMENT_GAP_MS);
        if (!fleet.isController(gone)) {
            history.retirements.removed(fleet.name(gone.id));
        }
        fleet.reuseAddress(gone);
        cluster.at(cluster.now() + REPLACEMENT_GAP_MS, () -> restart(gone));
    }

    /** Adds a storage machine, before another one is retired. */
    void addStorage(final String zone) {
        final SimulatedProcess added = fleet.addStorage(zone);
        markOut(added, 0);
        added.start();
    }

    // ---- disks

    void slowDisk(final SimulatedProcess process, final long syncMs, final long durationMs) {
        markOut(process, durationMs);
        history.availability.disturb(cluster.now() + durationMs);
        process.syncMs = syncMs;
        cluster.at(cluster.now() + durationMs, () -> process.syncMs = DISK_SYNC_MS);
    }

    /** Fills the disk; the service manager restarts the process again and again if it ends. */
    void fullDisk(final SimulatedProcess process, final long durationMs) {
        markOut(process, durationMs);
        history.availability.disturb(cluster.now() + durationMs);
        process.disk.full(true);
        for (long at = RESTART_PERIOD_MS; at < durationMs; at += RESTART_PERIOD_MS) {
            cluster.at(cluster.now() + at, () -> restart(process));
        }
        cluster.at(cluster.now() + durationMs, () -> {
            process.disk.full(false);
            restart(process);
        });
    }

    // ---- faults that take no machine out

    void clockStep(final long byMs, final long durationMs) {
        for (final SimulatedProcess process : cluster.processes.values()) {
            if (cluster.random.nextInt(10) < 3) {
                process.skew += byMs;
                cluster.at(cluster.now() + durationMs, () -> {
                    process.skew -= byMs;
                    disturb();
                });
            }
        }
        disturb();
    }

    /** Breaks most sessions between processes, and most of those with callers. */
    void resetSessions() {
        final List<SimulatedProcess> all =
                cluster.processes.values().stream().filter(p -> p.alive).toList();
        for (int i = 0; i < all.size(); i++) {
            for (int j = i + 1; j < all.size(); j++) {
                if (cluster.random.nextInt(5) != 0) {
                    cluster.net.reset(all.get(i), all.get(j));
                }
            }
        }
        cluster.callers.resetAll();
        disturb();
    }

    /** Ends all faults: heals the network and the disks and starts all processes that are not gone for good. */
    void endFaults() {
        cluster.net.heal();
        calls.unreachable.clear();
        for (final SimulatedProcess process : cluster.processes.values()) {
            process.syncMs = DISK_SYNC_MS;
            if (process.disk != null) {
                process.disk.full(false);
            }
            restart(process);
        }
        disturb();
    }
}
