package brookpath.coordination.message;

import brookpath.coordination.message.PeerMessage.ControlRequest;

/**
 * The kinds of requests that an operator or another process may send to the control leader, each with its name on the
 * wire.
 */
public enum ControlRequestKind {
    /** Submits a configuration document. */
    CHANGE("change", true),
    /** Retires a storage node given by its number, or cancels its retirement. */
    RETIRE("retire", true),
    /** Retires a storage node given by its name. */
    RETIRE_NAMED("retireNamed", true),
    /** Orders a manual switchover of a group's leadership. */
    HANDOVER("handover", true),
    /** Orders a topic group's members to move a replica; sent by the control leader, never to it. */
    MOVE("move", true),
    /** Reports that a topic group is founded; sent by its leader. */
    FOUNDED("founded", true),
    /** Reports the membership that a topic group's log has committed; sent by its leader. */
    MEMBERS("members", true),
    /** Reports the usage of a topic group's closed windows; sent by its leader. */
    USAGE("usage", true),
    /** Reads the newest committed configuration. */
    CONFIGURATION("spec", false),
    /** Reads the outcome of a change. */
    OUTCOME("outcome", false),
    /** Reads whether a retiring storage node is empty. */
    RETIRED("retired", false),
    /** Reads the usage windows. */
    WINDOWS("windows", false),
    /** Reads which processes follow the control leader. */
    NODES("nodes", false),
    /** Reads the other gateways; sent by a gateway. */
    GATEWAYS("fronts", false),
    /** A kind that this version does not know. */
    UNKNOWN("", false);

    private final String wireName;
    private final boolean write;

    ControlRequestKind(final String wireName, final boolean write) {
        this.wireName = wireName;
        this.write = write;
    }

    /** Whether the request changes state, so that its outcome is unknown if the reply is lost. */
    public boolean isWrite() {
        return write;
    }

    /** A request of this kind; the format of the body depends on the kind. */
    public ControlRequest request(final long requestId, final byte[] body) {
        return new ControlRequest(requestId, wireName, body);
    }

    /** The kind with this name; {@link #UNKNOWN} if there is none. */
    public static ControlRequestKind of(final String wireName) {
        for (final ControlRequestKind kind : values()) {
            if (kind.wireName.equals(wireName)) {
                return kind;
            }
        }
        return UNKNOWN;
    }
}
