package brookpath.coordination.node.control;

import brookpath.coordination.configuration.StoredConfiguration;
import brookpath.coordination.controllog.ControlState;
import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.metadata.ClusterMetadata;

/** What follows from the control log, as a member of the control group sees it. */
public final class ControlView {
    private final GroupMachine group;

    public ControlView(final GroupMachine group) {
        this.group = group;
    }

    /** The state with every record that this member has, committed or not. */
    public ControlState state() {
        return (ControlState) group.live();
    }

    /** The newest committed configuration. */
    public StoredConfiguration configuration() {
        return state().configurationAt(group.committed());
    }

    /** The newest configuration in the log, committed or not: what the next version builds on. */
    public StoredConfiguration newestConfiguration() {
        return state().configurationAt(Long.MAX_VALUE);
    }

    /** The newest committed cluster metadata. */
    public ClusterMetadata metadata() {
        return state().metadataAt(group.committed());
    }

    /** The newest cluster metadata in the log, committed or not: what the next version builds on. */
    public ClusterMetadata newestMetadata() {
        return state().metadataAt(Long.MAX_VALUE);
    }

    /** How many configurations and cluster metadata are in the log and not committed yet. */
    public int uncommitted() {
        return state().appendedAfter(group.committed());
    }

    /** Whether so much waits for its copies that nothing more is to be appended. */
    public boolean backlogged() {
        return group.diskBacklogged() || uncommitted() >= ConfigurationChangeHandler.MAX_UNCOMMITTED;
    }
}
