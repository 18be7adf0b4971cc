package brookpath.coordination.node.control;

import java.util.Set;

/** What the control leader knows of the processes that follow it. */
public interface ConfigurationFollowers {
    /** Whether every live process has taken the committed version, or its lease on what was before has run out. */
    boolean isAppliedEverywhere(long version, long now);

    /** The version has been confirmed. */
    void onConfirmed(long version);

    /** The storage machines heard within the lease. */
    Set<Integer> aliveStorageNodes(long now);

    /** Whether this leadership has lasted for so long that every live process has been heard. */
    boolean hasHeardAll(long now);
}
