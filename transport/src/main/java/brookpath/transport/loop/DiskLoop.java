package brookpath.transport.loop;

import static java.util.concurrent.TimeUnit.MILLISECONDS;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.action.Action;
import brookpath.coordination.node.Node;
import brookpath.state.wal.WriteAheadLog;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.tinylog.Logger;

/**
 * The disk thread, which owns the write-ahead log: writes what is queued as one batch, syncs it, and reports the number
 * up to which everything is synced. Periodically it reads the log back to find damage.
 */
final class DiskLoop implements Runnable {
    /** Periods of recovery between two scrubs of the log. */
    private static final int RECOVERIES_PER_SCRUB = 5;
    /** How often an idle loop checks its timers, and a refused snapshot is retried, in a period of recovery. */
    private static final int RETRIES_PER_RECOVERY = 4;

    private final WriteAheadLog writeAheadLog;
    private final DiskWriter writer;
    private final EventQueue events;
    private final LoopThreads threads;
    private final long retryMs;
    private final long scrubPeriodMs;
    private final long diskFullPauseMs;
    private final BlockingQueue<Action> writes = new LinkedBlockingQueue<>();
    private final List<Action> batch = new ArrayList<>();
    private long nextScrubMs;
    private long nextSnapshotMs = Long.MAX_VALUE;
    private boolean diskFull;

    DiskLoop(
            final WriteAheadLog writeAheadLog,
            final TimingBounds timing,
            final EventQueue events,
            final LoopThreads threads) {
        this.writeAheadLog = writeAheadLog;
        this.events = events;
        this.threads = threads;
        writer = new DiskWriter(writeAheadLog);
        retryMs = timing.recoverMs() / RETRIES_PER_RECOVERY;
        scrubPeriodMs = RECOVERIES_PER_SCRUB * timing.recoverMs();
        diskFullPauseMs = timing.diskRetryDelay();
    }

    /** Any thread: has an action written after all those before it. */
    void add(final Action write) {
        writes.add(write);
    }

    /** How many actions are queued. Any thread. */
    int waiting() {
        return writes.size();
    }

    @Override
    public void run() {
        nextScrubMs = SystemClock.monotonicMs() + scrubPeriodMs;
        try {
            while (!threads.closed()) {
                final Action first = diskFull ? null : writes.poll(retryMs, MILLISECONDS);
                final long nowMs = SystemClock.monotonicMs();
                scrubIfDue(nowMs);
                reportSnapshotIfDue(nowMs);
                if (first != null || diskFull) {
                    writeBatch(first, nowMs);
                }
            }
        } catch (final InterruptedException ex) {
            Thread.currentThread().interrupt();
        }
    }

    private void scrubIfDue(final long nowMs) {
        if (nowMs >= nextScrubMs) {
            // why: damage on the disk is to be found while the state in memory can still replace it
            nextScrubMs = nowMs + scrubPeriodMs;
            if (!writeAheadLog.isIntact()) {
                events.add(Node::damaged);
            }
        }
    }

    private void reportSnapshotIfDue(final long nowMs) {
        if (nowMs >= nextSnapshotMs) {
            nextSnapshotMs = Long.MAX_VALUE;
            events.add(Node::snapshotRefused);
        }
    }

    /** @param first the action that was already taken from the queue; null for none */
    private void writeBatch(final Action first, final long nowMs) throws InterruptedException {
        batch.clear();
        if (first != null) {
            batch.add(first);
        }
        writes.drainTo(batch);
        writer.add(batch);
        diskFull(!writer.write());
        if (writer.takeSnapshotRefused()) {
            Logger.warn("no room for a snapshot: the segment goes on");
            nextSnapshotMs = nowMs + retryMs;
        }
        final long synced = writer.sync();
        events.add((node, time) -> node.synced(synced, time));
        if (diskFull) {
            Thread.sleep(diskFullPauseMs);
        }
    }

    private void diskFull(final boolean full) {
        if (full && !diskFull) {
            Logger.warn("the disk is full: writes wait and are tried again");
        } else if (diskFull && !full) {
            Logger.info("the disk has room again");
        }
        diskFull = full;
    }
}
