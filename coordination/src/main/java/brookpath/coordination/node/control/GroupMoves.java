package brookpath.coordination.node.control;

import brookpath.coordination.Tempo;
import brookpath.coordination.action.Actions;
import brookpath.coordination.group.MoveOrder;
import brookpath.coordination.message.Msg.Op;
import brookpath.coordination.spec.MovePlan;
import brookpath.coordination.spec.Roster;
import brookpath.coordination.spec.Roster.GroupInfo;
import brookpath.coordination.spec.StorageSilence;
import brookpath.state.record.Pack;
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
    private final Tempo tempo;
    private final Actions out;
    private long nextMove = Long.MIN_VALUE / 2;
    /** What the last plan of moves was made for; it is made anew when either changes. */
    private long plannedVersion = -1;

    private Set<Integer> plannedGone = Set.of();
    private long nextSwitchover = Long.MIN_VALUE / 2;
    /** Who told last that it masters a group. */
    private final TreeMap<Integer, Integer> masters = new TreeMap<>();

    /** @param copies of each group */
    public GroupMoves(
            final ControlView view, final PollRegistry polls, final int copies, final Tempo tempo, final Actions out) {
        this.view = view;
        this.polls = polls;
        this.copies = copies;
        this.tempo = tempo;
        this.out = out;
    }

    /** A node told that it masters a group. */
    public void mastered(final int group, final int node) {
        masters.put(group, node);
    }

    /** What a master knows and its successor must learn anew. */
    public void clear() {
        masters.clear();
        plannedGone = Set.of();
    }

    /** Orders the moves that are due, and at most one switchover. */
    public void drive(final long now) {
        final Roster roster = view.metadata();
        final StorageSilence silence = new StorageSilence(tempo, roster, polls.storagesHeardAt(), now);
        final Set<Integer> gone = silence.gone(polls.dutySince(), plannedGone);
        if (now < nextMove && roster.version() == plannedVersion && gone.equals(plannedGone)) {
            return;
        }
        nextMove = now + tempo.beat();
        plannedVersion = roster.version();
        noteGone(gone);
        final MovePlan.Heard heard = new MovePlan.Heard(silence.alive(), polls.steadyStorages(now), gone);
        MovePlan.next(roster, heard, copies).forEach(m -> order(roster, m));
        if (now >= nextSwitchover) {
            switchover(roster, now);
        }
    }

    private void switchover(final Roster roster, final long now) {
        final MovePlan.Switchover s = MovePlan.switchover(roster, masters, polls.steadyStorages(now));
        if (s == null) {
            return;
        }
        // why: one at a time, each with time to settle; a handing over that fails costs its group a moment
        nextSwitchover = now + tempo.recoverMs() / 2;
        masters.remove(s.group());
        out.note("group " + s.group() + ": asks node " + s.from() + " to hand over to node " + s.to()
                + ", which ranks first");
        final byte[] body = Pack.writer().num(s.group()).num(s.to()).done();
        out.send(s.from(), new Op(0, "handover", body));
    }

    private void noteGone(final Set<Integer> gone) {
        if (!gone.equals(plannedGone)) {
            plannedGone = gone;
            out.note("storage machines taken for gone: " + gone);
        }
    }

    /** Tells all members, of whom the group's master obeys. */
    private void order(final Roster roster, final MovePlan.Move m) {
        final GroupInfo info = roster.groups().get(m.group());
        final byte[] body =
                new MoveOrder(m.group(), info.version(), m.from(), m.to().node(), m.to().zone(), m.repair()).save();
        info.members().forEach(to -> out.send(to.node(), new Op(0, "move", body)));
    }
}
