package brookpath.transport.loop;

import brookpath.coordination.action.Action;
import brookpath.state.disk.DiskFullException;
import brookpath.state.wal.WriteAheadLog;
import java.util.ArrayDeque;
import java.util.Collection;

/**
 * Brings the writes of a node to its write-ahead log, in order. What the disk has no room for waits and is written
 * again; a snapshot that there is no room for is left out, since the segment before it still holds everything. Not safe
 * for several threads.
 */
public final class DiskWriter {
    private final WriteAheadLog writeAheadLog;
    private final ArrayDeque<Action> waiting = new ArrayDeque<>();
    private long written;
    private boolean snapshotRefused;

    public DiskWriter(final WriteAheadLog writeAheadLog) {
        this.writeAheadLog = writeAheadLog;
    }

    public void add(final Collection<Action> writes) {
        waiting.addAll(writes);
    }

    /** Writes as much as there is room for; false where the rest has to wait for room. */
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

    /** Writes one action and gives its number. */
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

    /** Syncs what was written, and gives the number up to which everything is synced. */
    public long sync() {
        writeAheadLog.sync();
        return written;
    }

    /** The number up to which everything is written, synced or not. */
    public long written() {
        return written;
    }

    /** Whether there was no room for a snapshot since this was last asked. */
    public boolean takeSnapshotRefused() {
        final boolean refused = snapshotRefused;
        snapshotRefused = false;
        return refused;
    }
}
