package brookpath.testing.fuzz;

import java.util.ArrayList;
import java.util.List;

/** The disk of one member: synced entries survive a power failure, unsynced ones do not. */
final class FuzzDisk {
    static final long USUAL_SYNC_MS = 1;

    private final FuzzContext context;
    private final FuzzMember owner;
    private final List<byte[]> synced = new ArrayList<>();
    private final List<byte[]> unsynced = new ArrayList<>();
    private long syncMs = USUAL_SYNC_MS;
    private boolean syncing;
    private long lastNumber;

    FuzzDisk(final FuzzContext context, final FuzzMember owner) {
        this.context = context;
        this.owner = owner;
    }

    List<byte[]> synced() {
        return synced;
    }

    void syncTakes(final long millis) {
        syncMs = millis;
    }

    void dropUnsynced() {
        syncing = false;
        unsynced.clear();
    }

    void append(final long number, final byte[] entry) {
        unsynced.add(entry);
        lastNumber = number;
    }

    /** Starts to sync the appended entries, unless a sync is in progress. */
    void sync() {
        if (syncing || unsynced.isEmpty()) {
            return;
        }
        syncing = true;
        final int incarnation = owner.incarnation();
        final int entries = unsynced.size();
        final long upTo = lastNumber;
        context.after(syncMs + context.random.nextInt(3), () -> {
            if (!owner.alive() || owner.incarnation() != incarnation) {
                return;
            }
            synced.addAll(unsynced.subList(0, entries));
            unsynced.subList(0, entries).clear();
            syncing = false;
            owner.onSynced(upTo);
            sync();
        });
    }
}
