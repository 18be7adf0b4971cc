package brookpath.coordination.group;

import brookpath.coordination.action.Actions;

/**
 * The current term and the vote given in it. Each change is written before any message may depend on it: the caller
 * sends its message only once the returned write is synced, since a vote that is forgotten in a crash could be given
 * twice. Not thread-safe: the group's state thread owns it.
 */
final class VoteStore {
    private static final int NOBODY = 0;

    private final int group;
    private final Actions out;
    private long term;
    private int votedFor = NOBODY;
    private long highestTermSeen;

    VoteStore(final int group, final Actions out) {
        this.group = group;
        this.out = out;
    }

    /** The term that this member is in. */
    long term() {
        return term;
    }

    /** The highest term that any member was seen in; this member need not have entered it. */
    long highestTermSeen() {
        return Math.max(term, highestTermSeen);
    }

    /** Takes note of the term of another member. */
    void observe(final long otherTerm) {
        highestTermSeen = Math.max(highestTermSeen, otherTerm);
    }

    /** Whether no other candidate has this member's vote in the term, and no later term was entered. */
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

    /** Enters a later term that another member leads, without a vote. */
    void enter(final long newTerm) {
        vote(newTerm, NOBODY);
    }

    /** Restores a term and a vote that are on disk. */
    void replay(final long newTerm, final int candidate) {
        term = newTerm;
        votedFor = candidate;
        observe(newTerm);
    }

    /** A record of this term is on disk; a later term than the member's own is entered with it. */
    void replayRecordOf(final long recordTerm) {
        if (recordTerm > term) {
            replay(recordTerm, NOBODY);
        }
    }

    /** The entry that restores term and vote. */
    byte[] entry() {
        return GroupEntryKind.VOTE.entry(group).putLong(term).putLong(votedFor).toByteArray();
    }
}
