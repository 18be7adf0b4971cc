package brookpath.coordination.node.control;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.action.Actions;
import brookpath.coordination.configuration.ClusterMetadata;
import brookpath.coordination.configuration.ClusterMetadata.GroupInfo;
import brookpath.coordination.configuration.MovePlan;
import brookpath.coordination.configuration.StorageFailureDetector;
import brookpath.coordination.group.MoveOrder;
import brookpath.coordination.message.PeerMessage.ControlRequest;
import brookpath.state.record.PackedBuffer;
import java.util.Set;
import java.util.TreeMap;

/**
 * Drives on the moves of topic groups that {@link MovePlan} names, and hands masterships back to the members that rank
 * first. Orders are told to the groups' members again and again; nothing here is replicated.
 */
public final class GroupMoves {
    private final ControlView view;
    private final PollRegistry polls;
    private final int copies;
    private final TimingBounds timing;
    private final Actions out;
    private long nextMove = Long.MIN_VALUE / 2;
    /** What the last plan of moves was made for; it is made anew when either changes. */
    private long plannedVersion = -1;

    private Set<Integer> plannedGone = Set.of();
    private long nextSwitchover = Long.MIN_VALUE / 2;
    /** Who told last that it leaders a group. */
    private final TreeMap<Integer, Integer> leaders = new TreeMap<>();

    /** @param copies of each group */
    public GroupMoves(
            final ControlView view,
            final PollRegistry polls,
            final int copies,
            final TimingBounds timing,
            final Actions out) {
        this.view = view;
        this.polls = polls;
        this.copies = copies;
        this.timing = timing;
        this.out = out;
    }

    /** A node told that it leaders a group. */
    public void mastered(final int group, final int node) {
        leaders.put(group, node);
    }

    /** What a leader knows and its successor must learn anew. */
    public void clear() {
        leaders.clear();
        plannedGone = Set.of();
    }

    /** Orders the moves that are due, and at most one switchover. */
    public void drive(final long now) {
        final ClusterMetadata metadata = view.metadata();
        final StorageFailureDetector silence =
                new StorageFailureDetector(timing, metadata, polls.storagesHeardAt(), now);
        final Set<Integer> gone = silence.gone(polls.dutySince(), plannedGone);
        if (now < nextMove && metadata.version() == plannedVersion && gone.equals(plannedGone)) {
            return;
        }
        nextMove = now + timing.heartbeat();
        plannedVersion = metadata.version();
        noteGone(gone);
        final MovePlan.Heard heard = new MovePlan.Heard(silence.alive(), polls.steadyStorages(now), gone);
        MovePlan.next(metadata, heard, copies).forEach(m -> order(metadata, m));
        if (now >= nextSwitchover) {
            switchover(metadata, now);
        }
    }

    private void switchover(final ClusterMetadata metadata, final long now) {
        final MovePlan.Switchover s = MovePlan.switchover(metadata, leaders, polls.steadyStorages(now));
        if (s == null) {
            return;
        }
        // why: one at a time, each with time to settle; a handing over that fails costs its group a moment
        nextSwitchover = now + timing.recoverMs() / 2;
        leaders.remove(s.group());
        out.note("group " + s.group() + ": asks node " + s.from() + " to hand over to node " + s.to()
                + ", which ranks first");
        final byte[] body =
                PackedBuffer.writer().putLong(s.group()).putLong(s.to()).toByteArray();
        out.send(s.from(), new ControlRequest(0, "handover", body));
    }

    private void noteGone(final Set<Integer> gone) {
        if (!gone.equals(plannedGone)) {
            plannedGone = gone;
            out.note("storage machines taken for gone: " + gone);
        }
    }

    /** Tells all members, of whom the group's leader obeys. */
    private void order(final ClusterMetadata metadata, final MovePlan.Move m) {
        final GroupInfo info = metadata.groups().get(m.group());
        final byte[] body =
                new MoveOrder(m.group(), info.version(), m.from(), m.to().node(), m.to().zone(), m.repair()).save();
        info.members().forEach(to -> out.send(to.node(), new ControlRequest(0, "move", body)));
    }
}
