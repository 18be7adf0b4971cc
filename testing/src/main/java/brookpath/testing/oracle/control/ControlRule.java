package brookpath.testing.oracle.control;

/** What callers of the control plane must never see. */
public enum ControlRule {
    /** Two changes made from the same version are both acknowledged, or two share a version. */
    ONE_CHANGE_PER_VERSION,
    /** An acknowledged change is not there at the end, or has other bytes. */
    READ_BACK,
    /** A read, or a change, shows a version older than one that was known before the call began. */
    STALE_READ,
    /** A change that was taken is refused when it is sent again. */
    REPEAT_REFUSED,
    /** A change is refused as stale although nothing newer was ever in force. */
    REFUSED_WITHOUT_CAUSE,
    /** A valid order gets no final answer although the core is settled. */
    NOT_ANSWERED,
    /** An invalid change, or one that nobody sent, is acknowledged or read. */
    INVALID_IN_FORCE,
    /** A retirement is forgotten, refused when it is sent again, or never completed. */
    RETIREMENT,
    /** An answer comes to a call that was not asked so. */
    WRONG_ANSWER,
    /** A controller that nothing ails serves no reads. */
    UNAVAILABLE
}
