package brookpath.coordination.group;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.action.Actions;
import brookpath.coordination.message.PeerMessage.VoteReply;
import brookpath.coordination.message.PeerMessage.VoteRequest;
import java.util.function.Consumer;

/**
 * Answers the vote requests of candidates, by the rules of {@link LeaderElection}. A request that this member cannot
 * decide yet, since it has just started, stays pending until the other members have reported or the candidate's attempt
 * is over. Times are of the steady clock, in milliseconds. Not thread-safe: the group's state thread owns it.
 */
final class Voter {
    /** @param deadline when the candidate's attempt is over */
    private record PendingRequest(int candidate, VoteRequest request, long deadline) {}

    private final int group;
    private final TimingBounds timing;
    private final RoleState roleState;
    private final VoteStore voteStore;
    private final LeaderElection election;
    private final Consumer<String> stepDown;
    private final Actions out;
    /** The newest request that is not decided yet; null for none. */
    private PendingRequest pending;

    /** @param stepDown ends this member's own leadership; takes the reason */
    Voter(
            final int group,
            final TimingBounds timing,
            final RoleState roleState,
            final VoteStore voteStore,
            final LeaderElection election,
            final Consumer<String> stepDown,
            final Actions out) {
        this.group = group;
        this.timing = timing;
        this.roleState = roleState;
        this.voteStore = voteStore;
        this.election = election;
        this.stepDown = stepDown;
        this.out = out;
    }

    /** Handles a candidate's request. */
    void onRequest(final int candidate, final VoteRequest request, final long now) {
        if (!roleState.isLeader()) {
            voteStore.observe(request.term());
        }
        decide(new PendingRequest(candidate, request, now + timing.voteDeadline()), now);
    }

    /** Re-evaluates the pending request. */
    void decidePending(final long now) {
        final PendingRequest undecided = pending;
        pending = null;
        if (undecided != null) {
            decide(undecided, now);
        }
    }

    private void decide(final PendingRequest candidacy, final long now) {
        final String refusal = election.refusal(candidacy.candidate, candidacy.request, now);
        if (LeaderElection.JUST_STARTED.equals(refusal) && now < candidacy.deadline) {
            // after a restart of all members the candidate is often the first that has heard from all others; a refusal
            // would cost it the whole attempt and a back-off
            pending = candidacy;
        } else if (refusal == null) {
            grant(candidacy, now);
        } else {
            out.send(
                    candidacy.candidate,
                    new VoteReply(group, candidacy.request.term(), false, voteStore.highestTermSeen(), refusal));
        }
    }

    private void grant(final PendingRequest candidacy, final long now) {
        if (roleState.isLeader()) {
            stepDown.accept("node " + candidacy.candidate + " takes over");
        }
        election.grant(candidacy.candidate, candidacy.request.term(), now);
    }
}
