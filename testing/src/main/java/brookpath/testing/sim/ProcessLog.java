package brookpath.testing.sim;

import brookpath.coordination.action.Action;
import brookpath.state.wal.WriteAheadLog;
import brookpath.transport.loop.DiskWriter;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/** The disk thread of a simulated process: writes and syncs the write-ahead log, one batch at a time. */
final class ProcessLog {
    private static final long SCRUB_PERIOD_MS = 10_000;

    private final SimulatedProcess process;
    private final SimulatedCluster cluster;
    private WriteAheadLog writeAheadLog;
    private DiskWriter writer;
    private List<Action.ToDisk> pending = new ArrayList<>();
    private boolean busy;

    ProcessLog(final SimulatedProcess process) {
        this.process = process;
        cluster = process.cluster;
    }

    /** Discards what a previous incarnation had not written. */
    void reset() {
        pending = new ArrayList<>();
        busy = false;
    }

    /**
     * Recovers the log from what the disk still holds.
     *
     * @return the entries to replay
     * @throws java.io.UncheckedIOException if the disk fails
     */
    Collection<byte[]> recover() {
        final WriteAheadLog.Recovery recovery = WriteAheadLog.recover(process.disk);
        writeAheadLog = recovery.writeAheadLog();
        writer = new DiskWriter(writeAheadLog);
        cluster.count(recovery.damaged() ? "recoveries with damage" : "recoveries");
        return recovery.allEntries();
    }

    /** Checks the log for damaged records periodically. */
    void scheduleScrub() {
        if (process.disk != null) {
            process.after(SCRUB_PERIOD_MS, () -> {
                if (!process.frozen() && !busy && !writeAheadLog.isIntact()) {
                    cluster.count("damage found by the disk scrub");
                    process.run(p -> p.node.damaged(p.time()));
                }
                scheduleScrub();
            });
        }
    }

    void add(final Action.ToDisk write) {
        pending.add(write);
    }

    /** Starts to write what was added, unless a batch is being written. */
    void writePending() {
        if (!busy && !pending.isEmpty()) {
            write(takePending());
        }
    }

    private List<Action.ToDisk> takePending() {
        final List<Action.ToDisk> batch = pending;
        pending = new ArrayList<>();
        writer.add(batch);
        return batch;
    }

    private void write(final List<Action.ToDisk> batch) {
        busy = true;
        final boolean allWritten;
        try {
            allWritten = writer.write();
        } catch (final RuntimeException ex) {
            cluster.kill(process, false);
            return;
        }
        process.after(process.syncMs + cluster.random.nextInt(3), () -> sync(batch, allWritten));
    }

    private void sync(final List<Action.ToDisk> batch, final boolean allWritten) {
        final long incarnation = process.incarnation;
        final long number;
        try {
            number = cluster.mutations.contains(Mutation.NO_FSYNC) ? writer.written() : writer.sync();
        } catch (final RuntimeException ex) {
            // a failed sync ends the process, as in production
            cluster.count("failed syncs");
            cluster.kill(process, false);
            return;
        }
        if (allWritten && crashesAfterSync(batch)) {
            return;
        }
        busy = !allWritten;
        process.run(p -> p.node.synced(number, p.time()));
        if (process.alive && process.incarnation == incarnation) {
            continueAfterSync(allWritten);
        }
    }

    private boolean crashesAfterSync(final List<Action.ToDisk> batch) {
        return cluster.armed != null
                && batch.stream()
                        .anyMatch(a -> a instanceof Action.Write w && CrashPoint.ofWrite(w.entry()) == cluster.armed)
                && CrashPoint.leads(process.node, cluster.groups)
                && cluster.crashIfAllowed(process);
    }

    /** Writes what was added meanwhile at once, or retries after a delay where the disk was full. */
    private void continueAfterSync(final boolean allWritten) {
        if (writer.takeSnapshotRefused()) {
            cluster.count("snapshots refused, no space");
            process.after(cluster.timing.recoverMs() / 4, () -> process.run(p -> p.node.snapshotRefused(p.time())));
        }
        if (!allWritten) {
            cluster.count("writes refused, disk full");
            process.after(cluster.timing.diskRetryDelay(), () -> write(takePending()));
        } else if (!process.frozen()) {
            writePending();
        }
    }
}
