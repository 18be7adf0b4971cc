package brookpath.coordination.group;

import brookpath.coordination.action.Actions;

/**
 * Whether this member's replica counts. A replica is lost where its disk was found empty although the group was
 * founded: the member must not vote until the replica is rebuilt, since it does not know its former votes. A replica is
 * damaged where the content of a record is: the vote and the end of the log are still known, so the member may vote.
 * Not thread-safe: the group's state thread owns it.
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
    /** The index up to which the log has to be synced for the replica to count again. */
    private long target = UNKNOWN;
    /** The number of the write that records the rebuilt replica, until that is synced. */
    private long rebuiltWrite = NO_WRITE;

    ReplicaRecovery(final int group, final RaftLog log, final Actions out) {
        this.group = group;
        this.log = log;
        this.out = out;
    }

    /** Whether it is known if this replica was lost; before that the member may neither vote nor stand for election. */
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

    /** Whether this replica is lost or damaged: it does not count and has to be rebuilt from another. */
    boolean isLost() {
        return diskLost || damaged;
    }

    /** Restores what is on disk. */
    void replay(final boolean lost) {
        initialised = true;
        diskLost = lost;
    }

    /** Writes whether the replica was lost, on the first start with this disk. */
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
    void markDamaged() {
        damaged = true;
        target = UNKNOWN;
    }

    /** Whether the index that the log has to reach still has to be learnt from an acting leader. */
    boolean needsTarget() {
        return isLost() && target == UNKNOWN;
    }

    /** An acting leader has committed the log up to the index, so the rebuilt replica has to reach it. */
    void setTarget(final long committedIndex) {
        target = committedIndex;
    }

    /**
     * Notes that all writes up to this number are synced.
     *
     * @param snapshotWanted whether a complete snapshot is still to be received
     * @return why the replica counts again, null where nothing has changed
     */
    String synced(final long number, final boolean snapshotWanted) {
        String reason = null;
        if (damaged && !diskLost && !snapshotWanted && !log.hasUnsynced()) {
            // the member has lost no vote, so once the leader's complete log is synced its replica counts like any
            // other follower's
            damaged = false;
            reason = "replica repaired up to " + log.syncedIndex();
        }
        if (isLost() && reachedTarget() && rebuiltWrite == NO_WRITE) {
            rebuiltWrite = out.write(entry(false));
        }
        // once others are notified that this replica counts, it must also count after a crash
        if (rebuiltWrite > NO_WRITE && number >= rebuiltWrite) {
            rebuiltWrite = NO_WRITE;
            diskLost = false;
            damaged = false;
            target = UNKNOWN;
            reason = "replica rebuilt up to " + log.syncedIndex();
        }
        return reason;
    }

    private boolean reachedTarget() {
        return target != UNKNOWN && log.syncedIndex() >= target && !log.hasUnsynced();
    }
}
