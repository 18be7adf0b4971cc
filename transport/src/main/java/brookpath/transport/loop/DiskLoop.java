package brookpath.transport.loop;

import static java.util.concurrent.TimeUnit.MILLISECONDS;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.action.Action;
import brookpath.coordination.node.Node;
import brookpath.state.wal.WriteAheadLog;
import brookpath.transport.log.LogRing;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadLocalRandom;
import org.tinylog.Logger;

/**
 * The disk thread, which owns the write-ahead log: writes all queued actions as one batch, syncs the log, and reports
 * the number up to which everything is synced. Periodically it scrubs the log, that is, reads it back to detect damage,
 * in slices between the batches.
 */
final class DiskLoop implements Runnable {
    /** The period of the scrubs of the log, as a multiple of recoverMs. */
    private static final int RECOVERY_BOUNDS_PER_SCRUB = 5;
    /** How often in recoverMs an idle loop checks its timers, and a refused snapshot is retried. */
    private static final int RETRIES_PER_RECOVERY_BOUND = 4;
    /** Read at once by the scrub: short enough for a batch that waits behind it. */
    private static final int SCRUB_SLICE_BYTES = 256 << 10;
    /** Between two slices, so that a pass takes no more than 12.8 MB/s of the disk. */
    private static final long SCRUB_PAUSE_MS = 20;

    private final WriteAheadLog writeAheadLog;
    private final DiskWriter writer;
    private final EventQueue events;
    private final LoopThreads threads;
    private final long retryMs;
    private final long scrubPeriodMs;
    private final long diskFullRetryMs;
    private final BlockingQueue<Action.ToDisk> writes = new LinkedBlockingQueue<>();
    private final List<Action.ToDisk> batch = new ArrayList<>();
    private long nextScrubMs;
    private boolean scrubbing;
    private long scrubStartedMs;
    private long nextSnapshotRetryMs = Long.MAX_VALUE;
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
        retryMs = timing.recoverMs() / RETRIES_PER_RECOVERY_BOUND;
        scrubPeriodMs = RECOVERY_BOUNDS_PER_SCRUB * timing.recoverMs();
        diskFullRetryMs = timing.diskRetryDelay();
    }

    /** Queues an action, which is written after those queued before it. Any thread may call it. */
    void add(final Action.ToDisk write) {
        writes.add(write);
    }

    /** The number of queued actions. Any thread may call it. */
    int queuedWrites() {
        return writes.size();
    }

    @Override
    public void run() {
        // Processes that start together do not scrub together, and none scrubs while it starts
        final long firstDelayMs = ThreadLocalRandom.current().nextLong(scrubPeriodMs / 2, scrubPeriodMs);
        nextScrubMs = SystemClock.monotonicMs() + firstDelayMs;
        try {
            while (!threads.closed()) {
                final Action.ToDisk first =
                        diskFull ? null : writes.poll(scrubbing ? SCRUB_PAUSE_MS : retryMs, MILLISECONDS);
                final long nowMs = SystemClock.monotonicMs();
                scrubIfDue(nowMs);
                reportRefusedSnapshotIfDue(nowMs);
                if (first != null || diskFull) {
                    writeBatch(first, nowMs);
                }
            }
        } catch (final InterruptedException ex) {
            Thread.currentThread().interrupt();
        }
    }

    private void scrubIfDue(final long nowMs) {
        if (nowMs < nextScrubMs) {
            return;
        }
        if (!scrubbing) {
            scrubbing = true;
            scrubStartedMs = nowMs;
        }
        // Damage on the disk must be found while the state in memory can still replace it.
        final WriteAheadLog.ScrubState state = writeAheadLog.scrub(SCRUB_SLICE_BYTES);
        nextScrubMs = nowMs + SCRUB_PAUSE_MS;
        if (state != WriteAheadLog.ScrubState.IN_PROGRESS) {
            endScrub(state, nowMs);
        }
    }

    private void endScrub(final WriteAheadLog.ScrubState state, final long nowMs) {
        scrubbing = false;
        nextScrubMs = nowMs + scrubPeriodMs;
        if (state == WriteAheadLog.ScrubState.DAMAGED) {
            events.add(Node::damaged);
        } else {
            LogRing.info("log scrub: a pass of " + (nowMs - scrubStartedMs) + " ms found no damage");
        }
    }

    private void reportRefusedSnapshotIfDue(final long nowMs) {
        if (nowMs >= nextSnapshotRetryMs) {
            nextSnapshotRetryMs = Long.MAX_VALUE;
            events.add(Node::snapshotRefused);
        }
    }

    /** @param first an action that was already taken from the queue; null for none */
    private void writeBatch(final Action.ToDisk first, final long nowMs) throws InterruptedException {
        batch.clear();
        if (first != null) {
            batch.add(first);
        }
        writes.drainTo(batch);
        writer.add(batch);
        setDiskFull(!writer.write());
        if (writer.takeSnapshotRefused()) {
            Logger.warn("disk is full: snapshot skipped, log continues in its segment");
            nextSnapshotRetryMs = nowMs + retryMs;
        }
        final long synced = writer.sync();
        events.add((node, time) -> node.synced(synced, time));
        if (diskFull) {
            Thread.sleep(diskFullRetryMs);
        }
    }

    private void setDiskFull(final boolean full) {
        if (full && !diskFull) {
            Logger.warn("disk is full: writes are queued and retried");
        } else if (diskFull && !full) {
            Logger.info("disk has free space again: queued writes were written");
        }
        diskFull = full;
    }
}
