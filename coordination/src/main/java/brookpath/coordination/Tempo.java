package brookpath.coordination;

/**
 * All periods, as ratios of the bounds that the users set. docs/design/timing.md has the arithmetic.
 *
 * @param deliverMs never deliver later than this
 * @param recoverMs never mostly down for longer than this
 * @param changeMs a confirmed change is everywhere within this
 * @param windowMs the length of a usage window
 * @param leaseMs a process that does not hear from the control plane serves no longer than this; where it is more than
 *     changeMs, a change is confirmed before the leases of processes that cannot be reached have run out, and holds
 *     there leaseMs after its confirmation at the latest
 */
public record Tempo(long deliverMs, long recoverMs, long changeMs, long windowMs, long leaseMs) {
    public static final Tempo DEFAULT = new Tempo(2_000, 12_000, 3_000, 10_000);

    public Tempo(final long deliverMs, final long recoverMs, final long changeMs, final long windowMs) {
        this(deliverMs, recoverMs, changeMs, windowMs, changeMs * 4 / 5);
    }

    /** The sharing-beat's period. */
    public long beat() {
        return deliverMs / 8;
    }

    /** Two replies missed in a row. */
    public long down() {
        return 2 * beat();
    }

    /** A master may act this long after a beat was sent that a majority answered. */
    public long lease() {
        return down() * 4 / 5;
    }

    public long pullHold() {
        return beat();
    }

    /** A pull that was not answered goes again; what breaks a session says so sooner. */
    public long pullHorizon() {
        return 4 * beat();
    }

    /** A candidate waits this long for votes. */
    public long goHorizon() {
        return beat();
    }

    /** A publish that is not confirmed within this is unsettled. */
    public long settleHorizon() {
        return deliverMs / 2;
    }

    /** How long a front tries to bring a publish to its group's master. */
    public long ferryHorizon() {
        return deliverMs * 5 / 8;
    }

    /** The pause before a master that took nothing is asked again. */
    public long ferryPause() {
        return beat() / 6;
    }

    /** A storage machine answers a front's held fetch after this, with or without records. */
    public long fetchHold() {
        return 2 * beat();
    }

    /** A front says so often who listens, though it is as before. */
    public long listenRefresh() {
        return recoverMs / 8;
    }

    /** Listeners of a front that says no more lapse after this. */
    public long listenLapse() {
        return recoverMs / 3;
    }

    public long specLease() {
        return leaseMs;
    }

    /** How long a change's confirmation waits for processes that have not said that they have it. */
    public long confirmWait() {
        return leaseMs <= changeMs ? leaseMs : changeMs / 4;
    }

    public long specHold() {
        return specLease() / 4;
    }

    public long specHorizon() {
        return specLease() / 3;
    }

    /**
     * A storage machine that the control master has not heard for this long is taken for gone, and its copies are made
     * elsewhere. A live one polls about once in half of it.
     */
    public long goneAfter() {
        return 2 * specHold();
    }

    /** The same while an empty storage machine is at hand: a poll's hold, and the time in which beats find it down. */
    public long replacedAfter() {
        return specHold() + down();
    }

    public long keepAlive() {
        return recoverMs / 4;
    }

    /** Wakeups come at least this often. */
    public long tick() {
        return beat() / 10;
    }

    /** History is kept this much longer than the space asks. */
    public long keepMargin() {
        return recoverMs;
    }

    /** An order that has no answer after this has an unknown end. */
    public long opHorizon() {
        return changeMs * 3 / 2;
    }

    /** A read that has no answer after this is given up; a later answer is dropped. */
    public long readHorizon() {
        return changeMs / 2;
    }

    /** A window's total waits this long after its end for groups that could not close it. */
    public long straggle() {
        return recoverMs / 3;
    }

    /** The pause before a write that found the disk full is tried again. */
    public long diskPause() {
        return beat();
    }

    /** A member whose disk has taken nothing for this long is not fit to lead. */
    public long diskPatience() {
        return deliverMs * 3 / 4;
    }

    public int retryAfterMs() {
        return (int) (2 * beat());
    }
}
