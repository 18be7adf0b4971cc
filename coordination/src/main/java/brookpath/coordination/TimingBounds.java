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
public record TimingBounds(long deliverMs, long recoverMs, long changeMs, long windowMs, long leaseMs) {
    public static final TimingBounds DEFAULT = new TimingBounds(2_000, 12_000, 3_000, 10_000);

    public TimingBounds(final long deliverMs, final long recoverMs, final long changeMs, final long windowMs) {
        this(deliverMs, recoverMs, changeMs, windowMs, changeMs * 4 / 5);
    }

    /** The heartbeat's period. */
    public long heartbeat() {
        return deliverMs / 8;
    }

    /** Two replies missed in a row. */
    public long down() {
        return 2 * heartbeat();
    }

    /** A leader may act this long after a heartbeat was sent that a majority answered. */
    public long lease() {
        return down() * 4 / 5;
    }

    public long pullHold() {
        return heartbeat();
    }

    /** A pull that was not answered goes again; what breaks a session says so sooner. */
    public long pullDeadline() {
        return 4 * heartbeat();
    }

    /** A candidate waits this long for votes. */
    public long goDeadline() {
        return heartbeat();
    }

    /** A publish that is not confirmed within this is unsettled. */
    public long commitDeadline() {
        return deliverMs / 2;
    }

    /** How long a gateway tries to bring a publish to its group's leader. */
    public long forwardDeadline() {
        return deliverMs * 5 / 8;
    }

    /** The pause before a leader that took nothing is asked again. */
    public long forwardRetryDelay() {
        return heartbeat() / 6;
    }

    /** A storage machine answers a gateway's held fetch after this, with or without records. */
    public long longPollTimeout() {
        return 2 * heartbeat();
    }

    /** A gateway says so often who listens, though it is as before. */
    public long listenerReportInterval() {
        return recoverMs / 8;
    }

    /** Listeners of a gateway that says no more lapse after this. */
    public long listenerExpiry() {
        return recoverMs / 3;
    }

    public long configurationLease() {
        return leaseMs;
    }

    /** How long a change's confirmation waits for processes that have not said that they have it. */
    public long confirmWait() {
        return leaseMs <= changeMs ? leaseMs : changeMs / 4;
    }

    public long configurationHold() {
        return configurationLease() / 4;
    }

    public long configurationDeadline() {
        return configurationLease() / 3;
    }

    /**
     * A storage machine that the control leader has not heard for this long is taken for gone, and its copies are made
     * elsewhere. A live one polls about once in half of it.
     */
    public long goneAfter() {
        return 2 * configurationHold();
    }

    /**
     * The same while an empty storage machine is at hand: a poll's hold, and the time in which heartbeats find it down.
     */
    public long replacedAfter() {
        return configurationHold() + down();
    }

    public long keepAlive() {
        return recoverMs / 4;
    }

    /** Timers come at least this often. */
    public long tick() {
        return heartbeat() / 10;
    }

    /** History is kept this much longer than the space asks. */
    public long keepMargin() {
        return recoverMs;
    }

    /** An order that has no answer after this has an unknown end. */
    public long opDeadline() {
        return changeMs * 3 / 2;
    }

    /** A read that has no answer after this is given up; a later answer is dropped. */
    public long readDeadline() {
        return changeMs / 2;
    }

    /** A window's total waits this long after its end for groups that could not close it. */
    public long straggle() {
        return recoverMs / 3;
    }

    /** The pause before a write that found the disk full is tried again. */
    public long diskPause() {
        return heartbeat();
    }

    /** A member whose disk has taken nothing for this long is not fit to lead. */
    public long diskPatience() {
        return deliverMs * 3 / 4;
    }

    public int retryAfterMs() {
        return (int) (2 * heartbeat());
    }
}
