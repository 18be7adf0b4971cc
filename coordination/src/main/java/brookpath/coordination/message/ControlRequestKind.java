package brookpath.coordination.message;

import brookpath.coordination.message.PeerMessage.ControlRequest;

/** What an operator or another process may ask of the control leader, by its name on the wire. */
public enum ControlRequestKind {
    /** Submits a configuration document. */
    CHANGE("change", true),
    /** Retires a storage node given by its number, or cancels its retirement. */
    RETIRE("retire", true),
    /** Retires a storage node given by its name. */
    RETIRE_NAMED("retireNamed", true),
    /** Manual switchover of a group's leadership. */
    HANDOVER("handover", true),
    /** Orders a topic group's members to move a replica; sent by the control leader, never to it. */
    MOVE("move", true),
    /** A topic group's leader reports that its group is founded. */
    FOUNDED("founded", true),
    /** A topic group's leader reports the membership that its log has committed. */
    MEMBERS("members", true),
    /** A topic group's leader reports the usage of its closed windows. */
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
    /** A gateway asks for the other gateways. */
    GATEWAYS("fronts", false),
    /** A kind that this version does not know. */
    UNKNOWN("", false);

    private final String wireName;
    private final boolean write;

    ControlRequestKind(final String wireName, final boolean write) {
        this.wireName = wireName;
        this.write = write;
    }

    /** Whether it changes something, so that a lost answer leaves its outcome unknown. */
    public boolean isWrite() {
        return write;
    }

    /** A request of this kind; the format of the body depends on the kind. */
    public ControlRequest request(final long requestId, final byte[] body) {
        return new ControlRequest(requestId, wireName, body);
    }

    /** The kind of this name, {@link #UNKNOWN} where there is none. */
    public static ControlRequestKind of(final String wireName) {
        for (final ControlRequestKind kind : values()) {
            if (kind.wireName.equals(wireName)) {
                return kind;
            }
        }
        return UNKNOWN;
    }
}
