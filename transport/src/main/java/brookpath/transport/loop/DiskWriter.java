package brookpath.transport.loop;

import brookpath.coordination.action.Action;
import brookpath.state.disk.DiskFullException;
import brookpath.state.wal.WriteAheadLog;
import java.util.ArrayDeque;
import java.util.Collection;

/**
 * Appends the writes of a node to its write-ahead log, in order. Writes for which the disk has no space stay queued and
 * are retried; a snapshot for which it has no space is skipped, since the segment before it still holds everything. Not
 * thread-safe.
 */
public final class DiskWriter {
    private final WriteAheadLog writeAheadLog;
    private final ArrayDeque<Action.ToDisk> queued = new ArrayDeque<>();
    private long written;
    private boolean snapshotRefused;

    /** @param writeAheadLog used by this writer alone from now on */
    public DiskWriter(final WriteAheadLog writeAheadLog) {
        this.writeAheadLog = writeAheadLog;
    }

    /** Queues changes of the log without writing them yet. */
    public void add(final Collection<Action.ToDisk> writes) {
        queued.addAll(writes);
    }

    /** Writes the queued actions in order; false if the disk is full, in which case the rest stays queued. */
    public boolean write() {
        while (!queued.isEmpty()) {
            try {
                written = write(queued.peek());
            } catch (final DiskFullException ex) {
                return false;
            }
            queued.poll();
        }
        return true;
    }

    /** Writes one action and returns its number. */
    private long write(final Action.ToDisk action) {
        if (action instanceof Action.Write write) {
            writeAheadLog.append(write.entry());
        } else if (action instanceof Action.WriteAll writeAll) {
            // After a full disk all of them are written again; those before count for nothing without the last one
            writeAll.entries().forEach(entry -> writeAheadLog.append(entry.toByteArray()));
        } else if (action instanceof Action.Roll roll) {
            writeAheadLog.sync();
            roll(roll);
        }
        return action.number();
    }

    private void roll(final Action.Roll roll) {
        try {
            writeAheadLog.roll(roll.snapshot());
        } catch (final DiskFullException ex) {
            snapshotRefused = true;
        }
    }

    /** Syncs the log and returns the number up to which everything is synced. */
    public long sync() {
        writeAheadLog.sync();
        return written;
    }

    /** The number up to which everything is written, whether synced or not. */
    public long written() {
        return written;
    }

    /** Whether a snapshot was skipped for lack of space since the last call; clears the flag. */
    public boolean takeSnapshotRefused() {
        final boolean refused = snapshotRefused;
        snapshotRefused = false;
        return refused;
    }
}
