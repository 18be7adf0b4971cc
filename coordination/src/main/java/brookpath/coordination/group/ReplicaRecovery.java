package brookpath.coordination.group;

import brookpath.coordination.action.Actions;

/**
 * Whether this member's replica counts. A replica is lost where its disk was found empty though the group was founded:
 * it must not vote until it is rebuilt, for it does not know its former votes. A replica is damaged where the content
 * of a record is: the vote and the end of the log are still known, so the member may vote. Not thread-safe: the group's
 * state thread owns it.
 */
final class ReplicaRecovery {
    private static final long UNKNOWN = -1;
    private static final long NO_WRITE = 0;

    private final int group;
    private final RaftLog log;
    private final Actions out;
    private boolean initialised;
    private boolean diskLost;
    private boolean damaged;
    /** Up to where the log has to be synced for the replica to count again. */
    private long target = UNKNOWN;
    /** The write that records that this replica is rebuilt, until it is synced. */
    private long rebuiltWrite = NO_WRITE;

    ReplicaRecovery(final int group, final RaftLog log, final Actions out) {
        this.group = group;
        this.log = log;
        this.out = out;
    }

    /** Whether it is known if this replica was lost; before that the member may neither vote nor stand. */
    boolean isInitialised() {
        return initialised;
    }

    /** Whether the disk was lost, so that the member may not vote. */
    boolean isDiskLost() {
        return diskLost;
    }

    /** Whether a record was found damaged. */
    boolean isDamaged() {
        return damaged;
    }

    /** Whether this replica does not count and is to be rebuilt from another. */
    boolean isLost() {
        return diskLost || damaged;
    }

    /** Restores what is on disk. */
    void replay(final boolean lost) {
        initialised = true;
        diskLost = lost;
    }

    /** The first start on this disk: writes whether it was lost. */
    void initialise(final boolean lost) {
        if (!initialised) {
            replay(lost);
            out.write(entry(lost));
        }
    }

    /** The entry that restores this state. */
    byte[] entry() {
        return entry(diskLost && rebuiltWrite == NO_WRITE);
    }

    private byte[] entry(final boolean lost) {
        return GroupEntryKind.INITIALISED.entry(group).putLong(lost ? 1 : 0).toByteArray();
    }

    /** A record was found damaged. */
    void damage() {
        damaged = true;
        target = UNKNOWN;
    }

    /** Whether the index that the log has to reach is still to be learnt from an acting leader. */
    boolean needsTarget() {
        return isLost() && target == UNKNOWN;
    }

    /** An acting leader has committed the log up to the index, so the rebuilt replica has to reach it. */
    void target(final long committedIndex) {
        target = committedIndex;
    }

    /**
     * All writes up to this number are synced.
     *
     * @param snapshotWanted a complete snapshot is still to come
     * @return why the replica counts again, null where nothing has changed
     */
    String synced(final long number, final boolean snapshotWanted) {
        String reason = null;
        if (damaged && !diskLost && !snapshotWanted && !log.hasUnsynced()) {
            // why: it has forgotten no vote, so the leader's log, complete and synced, makes its replica as good as
            // that of any other follower
            damaged = false;
            reason = "copy mended up to " + log.syncedIndex();
        }
        if (isLost() && reachedTarget() && rebuiltWrite == NO_WRITE) {
            rebuiltWrite = out.write(entry(false));
        }
        // why: once others are notified that this replica counts, it must count after a crash, too
        if (rebuiltWrite > NO_WRITE && number >= rebuiltWrite) {
            rebuiltWrite = NO_WRITE;
            diskLost = false;
            damaged = false;
            target = UNKNOWN;
            reason = "copy rebuilt up to " + log.syncedIndex();
        }
        return reason;
    }

    private boolean reachedTarget() {
        return target != UNKNOWN && log.syncedIndex() >= target && !log.hasUnsynced();
    }
}
