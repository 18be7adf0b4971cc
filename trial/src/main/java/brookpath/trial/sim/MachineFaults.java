package brookpath.trial.sim;

import brookpath.coordination.node.Job;
import brookpath.trial.oracle.control.ControlHistory;
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

    private final World world;
    private final ControlFleet fleet;
    private final ControlHistory history;
    private final ControlCall calls;
    private long outUntil;

    MachineFaults(final World world, final ControlFleet fleet, final ControlHistory history, final ControlCall calls) {
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
    private void out(final Proc proc, final long spanMs) {
        final long backAt = world.now() + spanMs;
        outUntil = Math.max(outUntil, backAt + CATCH_UP_MS);
        trouble();
        world.at(backAt, this::trouble);
        history.availability.excuse(proc.id, backAt);
    }

    /** The core is unsettled by what happens now. */
    void trouble() {
        history.availability.trouble(world.now());
    }

    // ---- down and back

    void down(final Proc proc, final boolean powerLoss, final long spanMs) {
        out(proc, spanMs);
        world.kill(proc, powerLoss);
        world.at(world.now() + spanMs, () -> back(proc));
    }

    /** Starts what does not run, unless it was shut down for good meanwhile. */
    private void back(final Proc proc) {
        if (!proc.goneForGood) {
            world.restart(proc);
        }
    }

    void wipe(final Proc proc, final long spanMs) {
        down(proc, true, spanMs);
        proc.disk.wipe();
    }

    /**
     * A controller restarts several times in a row, each time with the time of day of its last start, as without a
     * battery; a front stands still meanwhile, so that changes wait for its lease and are under way at each restart.
     */
    void clockRepeats(final Proc controller, final Proc front, final int restarts, final long upMs) {
        final long skew = controller.skew;
        world.freeze(front, restarts * (REPEATED_DOWN_MS + upMs));
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

    void freeze(final Proc proc, final long spanMs) {
        out(proc, spanMs);
        world.freeze(proc, spanMs);
    }

    /** All counted machines, or all there are, go at once and come back one by one. */
    void allDown(final boolean powerLoss, final boolean frontsToo) {
        final List<Proc> all = frontsToo ? List.copyOf(world.procs.values()) : fleet.counted();
        for (final Proc proc : all) {
            if (!proc.goneForGood) {
                down(proc, powerLoss, 200 + world.rnd.nextLong(1_500));
            }
        }
    }

    void rollingRestart(final long downMs) {
        long at = 0;
        for (final Proc proc : fleet.controllers()) {
            world.at(world.now() + at, () -> down(proc, false, downMs));
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

    void cut(final Proc proc, final List<Proc> from, final Direction direction, final long spanMs) {
        out(proc, spanMs);
        excuseThoseCutFromCore(from, spanMs);
        world.note(proc.id, "is cut off, " + direction + ", for " + spanMs, false);
        for (final Proc other : from) {
            if (direction != Direction.HEARING) {
                world.net.cut(proc.id, other.id);
            }
            if (direction != Direction.SENDING) {
                world.net.cut(other.id, proc.id);
            }
        }
        world.at(world.now() + spanMs, world.net::heal);
    }

    /**
     * A controller is in touch only where it reaches every other that itself reaches more than half of them; whoever is
     * cut off from such a one is excused.
     */
    private void excuseThoseCutFromCore(final List<Proc> from, final long spanMs) {
        final List<Proc> cut = from.stream().filter(fleet::isController).toList();
        if (2 * (fleet.controllers().size() - cut.size()) > fleet.controllers().size()) {
            cut.forEach(other -> history.availability.excuse(other.id, world.now() + spanMs));
        }
    }

    void cutFromCallersToo(final Proc proc, final long spanMs) {
        cut(proc, others(proc, List.copyOf(world.procs.values())), Direction.BOTH, spanMs);
        calls.unreachable.add(proc.id);
        world.at(world.now() + spanMs, () -> calls.unreachable.remove(proc.id));
    }

    List<Proc> others(final Proc proc, final List<Proc> all) {
        return all.stream().filter(other -> other != proc).toList();
    }

    // ---- replacement

    /** The machine is gone for good, and an empty one comes at another number. */
    void replace(final Proc gone) {
        final boolean controller = fleet.isController(gone);
        remove(gone);
        final Proc next = controller ? fleet.addController(gone.zone) : fleet.addStorage(gone.zone);
        fleet.freshSeeds();
        out(next, REPLACEMENT_GAP_MS);
        world.note(next.id, "is to replace node " + gone.id, false);
        world.at(world.now() + REPLACEMENT_GAP_MS, next::start);
    }

    /** The new controller comes first; the old one is asked to hand over, and ends. */
    void replaceAnnounced(final Proc gone) {
        final Proc next = fleet.addController(gone.zone);
        fleet.freshSeeds();
        next.start();
        out(next, CATCH_UP_MS);
        world.note(next.id, "is to replace node " + gone.id + ", announced", false);
        world.at(world.now() + CATCH_UP_MS, () -> {
            out(gone, RETREAT_MS);
            world.callers.asked(gone, Job.Retreat::new, response -> world.count("control: retreats"));
            world.at(world.now() + RETREAT_MS, () -> {
                remove(gone);
                fleet.freshSeeds();
            });
        });
    }

    /** A machine never comes back, and nobody is to wait for it. */
    void remove(final Proc gone) {
        trouble();
        if (!fleet.isController(gone)) {
            history.retirements.removed(fleet.name(gone.id));
        }
        fleet.remove(gone);
    }

    /** Another, empty machine comes at the number of one that is gone. */
    void reuseAddress(final Proc gone) {
        out(gone, REPLACEMENT_GAP_MS);
        if (!fleet.isController(gone)) {
            history.retirements.removed(fleet.name(gone.id));
        }
        fleet.reuseAddress(gone);
        world.at(world.now() + REPLACEMENT_GAP_MS, () -> back(gone));
    }

    /** One more storage machine, before another one is emptied. */
    void addStorage(final String zone) {
        final Proc added = fleet.addStorage(zone);
        out(added, 0);
        added.start();
    }

    // ---- disks

    void slowDisk(final Proc proc, final long syncMs, final long spanMs) {
        out(proc, spanMs);
        history.availability.trouble(world.now() + spanMs);
        proc.syncMs = syncMs;
        world.at(world.now() + spanMs, () -> proc.syncMs = DISK_SYNC_MS);
    }

    /** The disk takes no bytes; whoever looks after the process starts it again and again should it end. */
    void fullDisk(final Proc proc, final long spanMs) {
        out(proc, spanMs);
        history.availability.trouble(world.now() + spanMs);
        proc.disk.full(true);
        for (long at = RESTART_EVERY_MS; at < spanMs; at += RESTART_EVERY_MS) {
            world.at(world.now() + at, () -> back(proc));
        }
        world.at(world.now() + spanMs, () -> {
            proc.disk.full(false);
            back(proc);
        });
    }

    // ---- without a loss

    void clockStep(final long byMs, final long spanMs) {
        for (final Proc proc : world.procs.values()) {
            if (world.rnd.nextInt(10) < 3) {
                proc.skew += byMs;
                world.at(world.now() + spanMs, () -> {
                    proc.skew -= byMs;
                    trouble();
                });
            }
        }
        trouble();
    }

    /** Most sessions between processes break, and those with callers. */
    void resets() {
        final List<Proc> all =
                world.procs.values().stream().filter(p -> p.alive).toList();
        for (int i = 0; i < all.size(); i++) {
            for (int j = i + 1; j < all.size(); j++) {
                if (world.rnd.nextInt(5) != 0) {
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
        for (final Proc proc : world.procs.values()) {
            proc.syncMs = DISK_SYNC_MS;
            if (proc.disk != null) {
                proc.disk.full(false);
            }
            back(proc);
        }
        trouble();
    }
}
