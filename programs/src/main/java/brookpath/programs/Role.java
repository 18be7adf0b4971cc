package brookpath.programs;

/** What a process does in the cluster. */
public enum Role {
    /** Holds the sessions of callers. */
    GATEWAY,
    /** Holds replicas of topic groups. */
    STORAGE,
    /** Decides, with others, on the configuration, the membership and the placement. */
    CONTROLLER
}
