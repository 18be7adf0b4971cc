package brookpath.testing.oracle.control;

/** The rules for what callers of the control plane see, each described by how it is violated. */
public enum ControlRule {
    /** Two changes based on the same version are both acknowledged, or two changes have the same version. */
    ONE_CHANGE_PER_VERSION,
    /** An acknowledged change is missing at the end, or has different bytes. */
    READ_BACK,
    /** A read, or a change, shows a version older than one that was known before the call began. */
    STALE_READ,
    /** A change that was applied is refused when it is sent again. */
    REPEAT_REFUSED,
    /** A change is refused as stale although nothing newer was ever in force. */
    REFUSED_WITHOUT_CAUSE,
    /** A valid change gets no final answer although the core is settled. */
    NOT_ANSWERED,
    /** An invalid change, or one that nobody sent, is acknowledged or read. */
    INVALID_IN_FORCE,
    /** A retirement is forgotten, refused when it is sent again, or never completed. */
    RETIREMENT,
    /** An answer does not match a call. */
    WRONG_ANSWER,
    /** A controller without a fault serves no reads. */
    UNAVAILABLE
}
