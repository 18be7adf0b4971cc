package brookpath.programs;

/** The role of a process in the cluster. */
public enum Role {
    /** Serves callers and holds their sessions. */
    GATEWAY,
    /** Holds replicas of topic groups. */
    STORAGE,
    /** Decides, together with the other controllers, on configuration, membership and placement. */
    CONTROLLER
}
