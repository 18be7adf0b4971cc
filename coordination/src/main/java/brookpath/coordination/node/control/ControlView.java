package brookpath.coordination.node.control;

import brookpath.coordination.configuration.StoredConfiguration;
import brookpath.coordination.controllog.ControlState;
import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.metadata.ClusterMetadata;

/** Read access to the state that a member of the control group derives from its replica of the control log. */
public final class ControlView {
    private final GroupMachine group;

    /** A view of the state that this member of the control group has replicated. */
    public ControlView(final GroupMachine group) {
        this.group = group;
    }

    /** The state after every record in this member's log, committed or not. */
    public ControlState state() {
        return (ControlState) group.live();
    }

    /** The newest committed configuration. */
    public StoredConfiguration configuration() {
        return state().configurationAt(group.committed());
    }

    /** The newest configuration in the log, committed or not: the base of the next version. */
    public StoredConfiguration newestConfiguration() {
        return state().configurationAt(Long.MAX_VALUE);
    }

    /** The newest committed cluster metadata. */
    public ClusterMetadata metadata() {
        return state().metadataAt(group.committed());
    }

    /** The newest cluster metadata in the log, committed or not: the base of the next version. */
    public ClusterMetadata newestMetadata() {
        return state().metadataAt(Long.MAX_VALUE);
    }

    /** The number of configurations and cluster metadata in the log that are not committed yet. */
    public int uncommitted() {
        return state().appendedAfter(group.committed());
    }

    /** Whether so many records await replication that nothing more may be appended. */
    public boolean backlogged() {
        return group.diskBacklogged() || uncommitted() >= ConfigurationChangeHandler.MAX_UNCOMMITTED;
    }
}
