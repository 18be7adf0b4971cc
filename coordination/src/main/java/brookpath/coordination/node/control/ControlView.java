package brookpath.coordination.node.control;

import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.spec.ControlState;
import brookpath.coordination.spec.Roster;
import brookpath.coordination.spec.StoredSpec;

/** What follows from the control log, as a member of the control group sees it. */
public final class ControlView {
    private final GroupMachine group;

    public ControlView(final GroupMachine group) {
        this.group = group;
    }

    /** The state with every record that this member has, accepted or not. */
    public ControlState state() {
        return (ControlState) group.live();
    }

    /** The newest accepted configuration. */
    public StoredSpec configuration() {
        return state().specAt(group.accepted());
    }

    /** The newest accepted cluster metadata. */
    public Roster metadata() {
        return state().rosterAt(group.accepted());
    }

    /** The newest cluster metadata in the log, accepted or not: what the next version builds on. */
    public Roster newestMetadata() {
        return state().rosterAt(Long.MAX_VALUE);
    }

    /** Whether so much waits for its copies that nothing more is to be appended. */
    public boolean backlogged() {
        return group.diskBacklogged() || state().appendedAfter(group.accepted()) >= ChangeOrders.MAX_UNACCEPTED;
    }
}
