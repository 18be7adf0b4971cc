package brookpath.coordination;

/**
 * All periods and timeouts, in milliseconds, derived as ratios of the bounds in the settings. Immutable.
 * docs/design/timing.md has the arithmetic.
 *
 * @param deliverMs the longest time until a message is delivered
 * @param recoverMs the longest time for which most of the service may be down
 * @param changeMs a change is confirmed and in force on all processes within this time; a longer {@code leaseMs} is the
 *     exception
 * @param windowMs the length of a usage window
 * @param leaseMs the length of the configuration lease: a process that hears nothing from the control plane stops
 *     serving after this time. Where it is longer than changeMs, a change is confirmed before the leases of unreachable
 *     processes have expired, and is in force there at most leaseMs after its confirmation
 */
public record TimingBounds(long deliverMs, long recoverMs, long changeMs, long windowMs, long leaseMs) {
    /** The bounds that apply where the settings give none. */
    public static final TimingBounds DEFAULT = new TimingBounds(2_000, 12_000, 3_000, 10_000);

    /** Bounds with a configuration lease of four fifths of {@code changeMs}. */
    public TimingBounds(final long deliverMs, final long recoverMs, final long changeMs, final long windowMs) {
        this(deliverMs, recoverMs, changeMs, windowMs, changeMs * 4 / 5);
    }

    /** The period of heartbeats between group members. */
    public long heartbeat() {
        return deliverMs / 8;
    }

    /** The failure detection time: a peer that has missed two replies in a row counts as down. */
    public long detectionTime() {
        return 2 * heartbeat();
    }

    /**
     * The leader lease: how long a leader may act after it sent a heartbeat that a majority answered. Shorter than
     * {@link #detectionTime}, during which a voter that answered votes for no other candidate.
     */
    public long leaderLease() {
        return detectionTime() * 4 / 5;
    }

    /** One heartbeat period. A pull for which there is nothing new stays pending beyond it. */
    public long pullHold() {
        return heartbeat();
    }

    /** A pull without a reply after this time is sent again; a broken session to the peer is reported sooner. */
    public long pullDeadline() {
        return 4 * heartbeat();
    }

    /** How long a candidate waits for votes before its election attempt has failed. */
    public long voteDeadline() {
        return heartbeat();
    }

    /**
     * A publish that is not committed within this time is answered as unsettled: it may or may not be committed later.
     */
    public long commitDeadline() {
        return deliverMs / 2;
    }

    /** A request to join a topic is refused if the topic's position is still unknown after this time. */
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

    /**
     * A storage node answers a gateway's pending long-poll fetch after this time at the latest, with or without
     * records.
     */
    public long longPollTimeout() {
        return 2 * heartbeat();
    }

    /** How often a gateway reports its listener counts, even if they have not changed. */
    public long listenerReportInterval() {
        return recoverMs / 8;
    }

    /** The listener counts of a gateway that has stopped reporting expire after this time. */
    public long listenerExpiry() {
        return recoverMs / 3;
    }

    /**
     * The configuration lease: how long a process may serve by its configuration after the control leader last
     * confirmed it.
     */
    public long configurationLease() {
        return leaseMs;
    }

    /** How long the confirmation of a change waits for processes that have not acknowledged it. */
    public long confirmWait() {
        return leaseMs <= changeMs ? leaseMs : changeMs / 4;
    }

    /** How long the control leader keeps a configuration poll pending before it replies without an update. */
    public long configurationHold() {
        return configurationLease() / 4;
    }

    /** A configuration poll without a reply after this time is considered lost, and is sent again. */
    public long configurationDeadline() {
        return configurationLease() / 3;
    }

    /**
     * A storage node that the control leader has not heard from for this long is considered lost, and its replicas are
     * rebuilt elsewhere. A live node polls about twice in that time.
     */
    public long lostAfter() {
        return 2 * configurationHold();
    }

    /**
     * Replaces {@link #lostAfter} while a storage node without replicas is available as a spare: the time for which a
     * poll stays pending, plus the detection time.
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

    /** How much longer history is kept than the space's retention time, for clients that reconnect after an outage. */
    public long retentionMargin() {
        return recoverMs;
    }

    /** The outcome of a change request is unknown if the control leader has not replied within this time. */
    public long changeRequestDeadline() {
        return changeMs * 3 / 2;
    }

    /** A read fails if the control leader has not replied within this time; a later reply is dropped. */
    public long readDeadline() {
        return changeMs / 2;
    }

    /** How long after a usage window's end its total waits for groups that have not closed the window. */
    public long usageGracePeriod() {
        return recoverMs / 3;
    }

    /** The delay before a write that failed because the disk was full is retried. */
    public long diskRetryDelay() {
        return heartbeat();
    }

    /**
     * A member whose disk has completed no write for this long does not stand for election; a leader transfers its
     * leadership.
     */
    public long diskStallTimeout() {
        return deliverMs * 3 / 4;
    }

    /** How long a caller may wait for its session and topics before they count as late. */
    public long callerWaitLimit() {
        return deliverMs / 5;
    }

    /** The delay that a refusal suggests to the caller before it retries. */
    public int retryAfterMs() {
        return (int) (2 * heartbeat());
    }
}
