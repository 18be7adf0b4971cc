package brookpath.transport.loop;

import brookpath.coordination.action.Action;
import brookpath.state.disk.DiskFullException;
import brookpath.state.wal.WriteAheadLog;
import java.util.ArrayDeque;
import java.util.Collection;

/**
 * Appends the writes of a node to its write-ahead log, in order. What the disk has no space for stays queued and is
 * retried; a snapshot that there is no space for is skipped, since the segment before it still has everything. Not
 * thread-safe.
 */
public final class DiskWriter {
    private final WriteAheadLog writeAheadLog;
    private final ArrayDeque<Action> waiting = new ArrayDeque<>();
    private long written;
    private boolean snapshotRefused;

    /** @param writeAheadLog used by no one else from now on */
    public DiskWriter(final WriteAheadLog writeAheadLog) {
        this.writeAheadLog = writeAheadLog;
    }

    /** Queues actions ({@link Action.Write} or {@link Action.Roll}) behind those before; nothing is written yet. */
    public void add(final Collection<Action> writes) {
        waiting.addAll(writes);
    }

    /** Writes as much as there is space for; false where the rest stays queued because the disk is full. */
    public boolean write() {
        while (!waiting.isEmpty()) {
            try {
                written = write(waiting.peek());
            } catch (final DiskFullException ex) {
                return false;
            }
            waiting.poll();
        }
        return true;
    }

    /** Writes one action and returns its number. */
    private long write(final Action action) {
        if (action instanceof Action.Write w) {
            writeAheadLog.append(w.entry());
            return w.number();
        } else if (action instanceof Action.Roll r) {
            writeAheadLog.sync();
            roll(r);
            return r.number();
        }
        throw new IllegalArgumentException("not for the disk: " + action);
    }

    private void roll(final Action.Roll roll) {
        try {
            writeAheadLog.roll(roll.snapshot());
        } catch (final DiskFullException ex) {
            snapshotRefused = true;
        }
    }

    /** Syncs what was written; returns the number up to which everything is synced. */
    public long sync() {
        writeAheadLog.sync();
        return written;
    }

    /** The number up to which everything is written, synced or not. */
    public long written() {
        return written;
    }

    /** Whether a snapshot was skipped for lack of space since the last call. */
    public boolean takeSnapshotRefused() {
        final boolean refused = snapshotRefused;
        snapshotRefused = false;
        return refused;
    }
}
