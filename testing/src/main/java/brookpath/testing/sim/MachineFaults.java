package brookpath.testing.sim;

import brookpath.coordination.node.NodeRequest;
import brookpath.testing.oracle.control.ControlHistory;
import java.util.List;

/**
 * Takes machines down, cuts them off and replaces them: never more than one counted machine at a time. A machine counts
 * as out while it is down, frozen, slowed or cut off, and for a while after it is back.
 */
final class MachineFaults {
    /** A machine counts as out this long after it is back, or after its start if it is new. */
    static final long CATCH_UP_MS = 4_000;

    private static final long REPLACEMENT_GAP_MS = 1_000;
    private static final long RETREAT_MS = 500;
    private static final long DISK_SYNC_MS = 2;
    private static final long REPEATED_DOWN_MS = 200;
    private static final long RESTART_EVERY_MS = 1_000;

    private final SimulatedCluster world;
    private final ControlFleet fleet;
    private final ControlHistory history;
    private final ControlCall calls;
    private long outUntil;

    MachineFaults(
            final SimulatedCluster world,
            final ControlFleet fleet,
            final ControlHistory history,
            final ControlCall calls) {
        this.world = world;
        this.fleet = fleet;
        this.history = history;
        this.calls = calls;
    }

    /** Whether all counted machines are back. */
    boolean free() {
        return world.now() >= outUntil;
    }

    long outUntil() {
        return outUntil;
    }

    /** A machine is out from now until it is back at that moment and has caught up. */
    private void out(final SimulatedProcess process, final long spanMs) {
        final long backAt = world.now() + spanMs;
        outUntil = Math.max(outUntil, backAt + CATCH_UP_MS);
        trouble();
        world.at(backAt, this::trouble);
        history.availability.excuse(process.id, backAt);
    }

    /** The core is unsettled by what happens now. */
    void trouble() {
        history.availability.trouble(world.now());
    }

    // ---- down and back

    void down(final SimulatedProcess process, final boolean powerLoss, final long spanMs) {
        out(process, spanMs);
        world.kill(process, powerLoss);
        world.at(world.now() + spanMs, () -> back(process));
    }

    /** Starts what does not run, unless it was shut down for good meanwhile. */
    private void back(final SimulatedProcess process) {
        if (!process.goneForGood) {
            world.restart(process);
        }
    }

    void wipe(final SimulatedProcess process, final long spanMs) {
        down(process, true, spanMs);
        process.disk.wipe();
    }

    /**
     * A controller restarts several times in a row, each time with the time of day of its last start, as without a
     * battery; a gateway stands still meanwhile, so that changes wait for its lease and are under way at each restart.
     */
    void clockRepeats(
            final SimulatedProcess controller, final SimulatedProcess gateway, final int restarts, final long upMs) {
        final long skew = controller.skew;
        world.freeze(gateway, restarts * (REPEATED_DOWN_MS + upMs));
        for (int i = 0; i < restarts; i++) {
            world.at(world.now() + i * (REPEATED_DOWN_MS + upMs), () -> {
                controller.skew -= world.now() + REPEATED_DOWN_MS - fleet.startedAt(controller);
                down(controller, false, REPEATED_DOWN_MS);
            });
        }
        final long spanMs = restarts * (REPEATED_DOWN_MS + upMs);
        out(controller, spanMs);
        world.at(world.now() + spanMs, () -> controller.skew = skew);
    }

    void freeze(final SimulatedProcess process, final long spanMs) {
        out(process, spanMs);
        world.freeze(process, spanMs);
    }

    /** All counted machines, or all there are, go at once and come back one by one. */
    void allDown(final boolean powerLoss, final boolean gatewaysToo) {
        final List<SimulatedProcess> all = gatewaysToo ? List.copyOf(world.processes.values()) : fleet.counted();
        for (final SimulatedProcess process : all) {
            if (!process.goneForGood) {
                down(process, powerLoss, 200 + world.random.nextLong(1_500));
            }
        }
    }

    void rollingRestart(final long downMs) {
        long at = 0;
        for (final SimulatedProcess process : fleet.controllers()) {
            world.at(world.now() + at, () -> down(process, false, downMs));
            at += downMs + CATCH_UP_MS;
        }
        outUntil = Math.max(outUntil, world.now() + at);
    }

    // ---- cuts

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
            final long spanMs) {
        out(process, spanMs);
        excuseThoseCutFromCore(from, spanMs);
        world.note(process.id, "is cut off, " + direction + ", for " + spanMs, false);
        for (final SimulatedProcess other : from) {
            if (direction != Direction.HEARING) {
                world.net.cut(process.id, other.id);
            }
            if (direction != Direction.SENDING) {
                world.net.cut(other.id, process.id);
            }
        }
        world.at(world.now() + spanMs, world.net::heal);
    }

    /**
     * A controller is in touch only where it reaches every other that itself reaches more than half of them; whoever is
     * cut off from such a one is excused.
     */
    private void excuseThoseCutFromCore(final List<SimulatedProcess> from, final long spanMs) {
        final List<SimulatedProcess> cut =
                from.stream().filter(fleet::isController).toList();
        if (2 * (fleet.controllers().size() - cut.size()) > fleet.controllers().size()) {
            cut.forEach(other -> history.availability.excuse(other.id, world.now() + spanMs));
        }
    }

    void cutFromCallersToo(final SimulatedProcess process, final long spanMs) {
        cut(process, others(process, List.copyOf(world.processes.values())), Direction.BOTH, spanMs);
        calls.unreachable.add(process.id);
        world.at(world.now() + spanMs, () -> calls.unreachable.remove(process.id));
    }

    List<SimulatedProcess> others(final SimulatedProcess process, final List<SimulatedProcess> all) {
        return all.stream().filter(other -> other != process).toList();
    }

    // ---- replacement

    /** The machine is gone for good, and an empty one comes at another number. */
    void replace(final SimulatedProcess gone) {
        final boolean controller = fleet.isController(gone);
        remove(gone);
        final SimulatedProcess next = controller ? fleet.addController(gone.zone) : fleet.addStorage(gone.zone);
        fleet.freshSeeds();
        out(next, REPLACEMENT_GAP_MS);
        world.note(next.id, "is to replace node " + gone.id, false);
        world.at(world.now() + REPLACEMENT_GAP_MS, next::start);
    }

    /** The new controller comes first; the old one is asked to hand over, and ends. */
    void replaceAnnounced(final SimulatedProcess gone) {
        final SimulatedProcess next = fleet.addController(gone.zone);
        fleet.freshSeeds();
        next.start();
        out(next, CATCH_UP_MS);
        world.note(next.id, "is to replace node " + gone.id + ", announced", false);
        world.at(world.now() + CATCH_UP_MS, () -> {
            out(gone, RETREAT_MS);
            world.callers.asked(gone, NodeRequest.GracefulShutdown::new, response -> world.count("control: retreats"));
            world.at(world.now() + RETREAT_MS, () -> {
                remove(gone);
                fleet.freshSeeds();
            });
        });
    }

    /** A machine never comes back, and nobody is to wait for it. */
    void remove(final SimulatedProcess gone) {
        trouble();
        if (!fleet.isController(gone)) {
            history.retirements.removed(fleet.name(gone.id));
        }
        fleet.remove(gone);
    }

    /** Another, empty machine comes at the number of one that is gone. */
    void reuseAddress(final SimulatedProcess gone) {
        out(gone, REPLACEMENT_GAP_MS);
        if (!fleet.isController(gone)) {
            history.retirements.removed(fleet.name(gone.id));
        }
        fleet.reuseAddress(gone);
        world.at(world.now() + REPLACEMENT_GAP_MS, () -> back(gone));
    }

    /** One more storage machine, before another one is emptied. */
    void addStorage(final String zone) {
        final SimulatedProcess added = fleet.addStorage(zone);
        out(added, 0);
        added.start();
    }

    // ---- disks

    void slowDisk(final SimulatedProcess process, final long syncMs, final long spanMs) {
        out(process, spanMs);
        history.availability.trouble(world.now() + spanMs);
        process.syncMs = syncMs;
        world.at(world.now() + spanMs, () -> process.syncMs = DISK_SYNC_MS);
    }

    /** The disk takes no bytes; whoever looks after the process starts it again and again should it end. */
    void fullDisk(final SimulatedProcess process, final long spanMs) {
        out(process, spanMs);
        history.availability.trouble(world.now() + spanMs);
        process.disk.full(true);
        for (long at = RESTART_EVERY_MS; at < spanMs; at += RESTART_EVERY_MS) {
            world.at(world.now() + at, () -> back(process));
        }
        world.at(world.now() + spanMs, () -> {
            process.disk.full(false);
            back(process);
        });
    }

    // ---- without a loss

    void clockStep(final long byMs, final long spanMs) {
        for (final SimulatedProcess process : world.processes.values()) {
            if (world.random.nextInt(10) < 3) {
                process.skew += byMs;
                world.at(world.now() + spanMs, () -> {
                    process.skew -= byMs;
                    trouble();
                });
            }
        }
        trouble();
    }

    /** Most sessions between processes break, and those with callers. */
    void resets() {
        final List<SimulatedProcess> all =
                world.processes.values().stream().filter(p -> p.alive).toList();
        for (int i = 0; i < all.size(); i++) {
            for (int j = i + 1; j < all.size(); j++) {
                if (world.random.nextInt(5) != 0) {
                    world.net.reset(all.get(i), all.get(j));
                }
            }
        }
        world.callers.resetAll();
        trouble();
    }

    /** The last failure of a day is over: nothing is cut or slowed any more. */
    void mend() {
        world.net.heal();
        calls.unreachable.clear();
        for (final SimulatedProcess process : world.processes.values()) {
            process.syncMs = DISK_SYNC_MS;
            if (process.disk != null) {
                process.disk.full(false);
            }
            back(process);
        }
        trouble();
    }
}
