package brookpath.coordination;

/**
 * All periods and deadlines, in milliseconds, as ratios of the bounds that the users set. Immutable.
 * docs/design/timing.md has the arithmetic.
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
    /** The bounds where the settings give none. */
    public static final TimingBounds DEFAULT = new TimingBounds(2_000, 12_000, 3_000, 10_000);

    /** Bounds with a configuration lease of four fifths of {@code changeMs}. */
    public TimingBounds(final long deliverMs, final long recoverMs, final long changeMs, final long windowMs) {
        this(deliverMs, recoverMs, changeMs, windowMs, changeMs * 4 / 5);
    }

    /** The period of heartbeats between members of groups. */
    public long heartbeat() {
        return deliverMs / 8;
    }

    /** The detection time: a peer that has missed two replies in a row is down. */
    public long detectionTime() {
        return 2 * heartbeat();
    }

    /**
     * How long a leader may act after it sent a heartbeat that a majority answered. Shorter than
     * {@link #detectionTime}, for which an answer binds the voter.
     */
    public long leaderLease() {
        return detectionTime() * 4 / 5;
    }

    /** One heartbeat period. A pull for which there is nothing new stays pending without this limit. */
    public long pullHold() {
        return heartbeat();
    }

    /** A pull that was not answered within this is sent again; a lost session is reported sooner. */
    public long pullDeadline() {
        return 4 * heartbeat();
    }

    /** How long a candidate waits for votes before its attempt has failed. */
    public long voteDeadline() {
        return heartbeat();
    }

    /** A publish that is not confirmed within this is answered as unsettled: it may or may not be committed later. */
    public long commitDeadline() {
        return deliverMs / 2;
    }

    /** A topic whose position is not known within this after the request to join it is refused. */
    public long joinDeadline() {
        return deliverMs / 2;
    }

    /** How long a gateway tries to forward a publish to the leader of its group. */
    public long forwardDeadline() {
        return deliverMs * 5 / 8;
    }

    /** The pause before a publish is sent again after a leader did not accept it. */
    public long forwardRetryDelay() {
        return heartbeat() / 6;
    }

    /** A storage node answers a gateway's pending long-poll fetch after this, with or without records. */
    public long longPollTimeout() {
        return 2 * heartbeat();
    }

    /** How often a gateway reports its listener counts, also where they have not changed. */
    public long listenerReportInterval() {
        return recoverMs / 8;
    }

    /** Listener counts of a gateway that has stopped reporting expire after this. */
    public long listenerExpiry() {
        return recoverMs / 3;
    }

    /** How long a process may serve on its configuration after the control leader has last confirmed it. */
    public long configurationLease() {
        return leaseMs;
    }

    /** How long the confirmation of a change waits for processes that have not acknowledged it. */
    public long confirmWait() {
        return leaseMs <= changeMs ? leaseMs : changeMs / 4;
    }

    /** How long the control leader keeps a configuration poll pending before it answers without news. */
    public long configurationHold() {
        return configurationLease() / 4;
    }

    /** A configuration poll that is not answered within this is considered lost, and is sent again. */
    public long configurationDeadline() {
        return configurationLease() / 3;
    }

    /**
     * A storage node that the control leader has not heard from for this long is considered lost, and its replicas are
     * rebuilt elsewhere. A live one polls about once in half of it.
     */
    public long lostAfter() {
        return 2 * configurationHold();
    }

    /**
     * The bound in place of {@link #lostAfter} while an empty storage node is available: the time for which a poll
     * stays pending, plus the detection time.
     */
    public long lostAfterWithSpare() {
        return configurationHold() + detectionTime();
    }

    /** A listening session to which nothing was sent for this long gets a keep-alive line. */
    public long keepAlive() {
        return recoverMs / 4;
    }

    /** The period of timer events while a process has work in progress. */
    public long tick() {
        return heartbeat() / 10;
    }

    /** How much longer history is kept than the space's keeping time, for clients that return after an outage. */
    public long retentionMargin() {
        return recoverMs;
    }

    /** A change request that has no answer from the control leader after this has an unknown outcome. */
    public long changeRequestDeadline() {
        return changeMs * 3 / 2;
    }

    /** A read that has no answer from the control leader after this has failed; a later answer is dropped. */
    public long readDeadline() {
        return changeMs / 2;
    }

    /** How long the total of a usage window waits after the window's end for groups that could not close it. */
    public long usageGracePeriod() {
        return recoverMs / 3;
    }

    /** The pause before a write that found the disk full is retried. */
    public long diskRetryDelay() {
        return heartbeat();
    }

    /** A member whose disk has completed no write for this long does not stand, and transfers its leadership. */
    public long diskStallTimeout() {
        return deliverMs * 3 / 4;
    }

    /** How long a caller waits for its session and topics before that counts as late. */
    public long callerWaitLimit() {
        return deliverMs / 5;
    }

    /** The delay that a refusal suggests to the caller before it retries. */
    public int retryAfterMs() {
        return (int) (2 * heartbeat());
    }
}
