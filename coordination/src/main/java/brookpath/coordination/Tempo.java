package brookpath.coordination;

/**
 * All periods, as ratios of the bounds that the users set. docs/design/timing.md has the arithmetic.
 *
 * @param deliverMs never deliver later than this
 * @param recoverMs never mostly down for longer than this
 * @param changeMs a confirmed change is everywhere within this
 * @param windowMs the length of a usage window
 */
public record Tempo(long deliverMs, long recoverMs, long changeMs, long windowMs) {
    public static final Tempo DEFAULT = new Tempo(2_000, 12_000, 3_000, 10_000);

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

    public long pullHorizon() {
        return 2 * beat();
    }

    /** A candidate waits this long for votes. */
    public long goHorizon() {
        return beat();
    }

    /** A publish that is not confirmed within this is unsettled. */
    public long settleHorizon() {
        return deliverMs / 2;
    }

    /** How long a front waits for a master's response to a ferried publish. */
    public long ferryHorizon() {
        return deliverMs * 5 / 8;
    }

    public long specLease() {
        return changeMs * 4 / 5;
    }

    public long specHold() {
        return specLease() / 4;
    }

    public long specHorizon() {
        return specLease() / 3;
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

    /** An operator's job is given up after this. */
    public long opHorizon() {
        return changeMs * 5 / 2;
    }

    /** A window's total waits this long after its end for groups that could not close it. */
    public long straggle() {
        return recoverMs / 3;
    }

    public int retryAfterMs() {
        return (int) (2 * beat());
    }
}
