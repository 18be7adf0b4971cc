package brookpath.coordination.group;

import brookpath.coordination.action.Actions;

/**
 * The current term and the vote given in it. Each change is written to disk before any message depends on it: the
 * caller sends its message only once the returned write is synced, since a vote that is lost in a crash could be given
 * twice. Not thread-safe: the group's state thread owns it.
 */
final class VoteStore {
    private static final int NO_CANDIDATE = 0;

    private final int group;
    private final Actions out;
    private long term;
    private int votedFor = NO_CANDIDATE;
    private long highestTermSeen;

    VoteStore(final int group, final Actions out) {
        this.group = group;
        this.out = out;
    }

    /** The current term of this member. */
    long term() {
        return term;
    }

    /** The highest term that any member was seen in; this member may not have entered it. */
    long highestTermSeen() {
        return Math.max(term, highestTermSeen);
    }

    /** Notes the term of another member. */
    void observe(final long otherTerm) {
        highestTermSeen = Math.max(highestTermSeen, otherTerm);
    }

    /** Whether this member may vote for the candidate: it has entered no later term, nor this one without that vote. */
    boolean mayVote(final long candidateTerm, final int candidate) {
        return candidateTerm > term || (candidateTerm == term && votedFor == candidate);
    }

    /**
     * Enters the term and votes in it.
     *
     * @return the number of the write that has to be synced before the vote may be sent
     */
    long vote(final long newTerm, final int candidate) {
        replay(newTerm, candidate);
        return out.write(entry());
    }

    /** Enters a later term, in which another member is the leader already, without a vote. */
    void enter(final long newTerm) {
        vote(newTerm, NO_CANDIDATE);
    }

    /** Restores a term and a vote from disk. */
    void replay(final long newTerm, final int candidate) {
        term = newTerm;
        votedFor = candidate;
        observe(newTerm);
    }

    /** Enters the term of a record on disk where that is later than the current term. */
    void replayRecordOf(final long recordTerm) {
        if (recordTerm > term) {
            replay(recordTerm, NO_CANDIDATE);
        }
    }

    /** The entry that restores term and vote. */
    byte[] entry() {
        return GroupEntryKind.VOTE.entry(group).putLong(term).putLong(votedFor).toByteArray();
    }
}
