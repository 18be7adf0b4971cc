package brookpath.testing.sim;

import static java.nio.charset.StandardCharsets.UTF_8;

import brookpath.coordination.action.Action;
import brookpath.coordination.controllog.ControlState;
import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.message.PeerMessage;
import brookpath.coordination.message.PublishOutcome;
import brookpath.coordination.node.ControllerNode;
import brookpath.coordination.node.Node;
import brookpath.coordination.node.StorageNode;
import brookpath.state.record.LogRecord;
import brookpath.state.record.PackedBuffer;

/** Where in its work an owner is to die: a position, not a time. */
enum CrashPoint {
    /** A publish is appended, nothing of it written. */
    APPEND,
    /** A publish is synced here and nobody knows. */
    SYNC,
    /** The committed position has moved and nobody has been told. */
    ACCEPT,
    /** The acceptance has just been sent. */
    ANSWER,
    /** A window's closing record is synced here. */
    CLOSE,
    /** A membership record is synced here. */
    MEMBERS,
    /** A usage total is synced here. */
    USAGE,
    /** A change has just been confirmed. */
    CONFIRM;

    private static final int GROUP_RECORD = 1;

    /** The point that is reached with this write's append (APPEND) or its sync (the others), null for none. */
    static CrashPoint ofWrite(final byte[] entry) {
        final PackedBuffer in = PackedBuffer.reader(entry);
        in.getLong();
        if (in.getLong() != GROUP_RECORD) {
            return null;
        }
        final LogRecord logRecord = LogRecord.wrap(in.getBytes(), 0);
        return switch (logRecord.kind()) {
            case LogRecord.PUBLISH -> SYNC;
            case LogRecord.USAGE_WINDOW_CLOSE -> CLOSE;
            case LogRecord.MEMBERS -> MEMBERS;
            case LogRecord.CONTROL ->
                PackedBuffer.reader(logRecord.body()).getLong() == ControlState.USAGE ? USAGE : null;
            default -> null;
        };
    }

    /** The point that is reached once this has left. */
    static CrashPoint ofAction(final Action action) {
        if (action instanceof Action.Send s
                && s.message() instanceof PeerMessage.PublishReply r
                && r.outcome() == PublishOutcome.ACCEPTED) {
            return ANSWER;
        }
        final String told = action instanceof Action.Respond r
                ? r.response().json()
                : action instanceof Action.Send s && s.message() instanceof PeerMessage.ControlReply r
                        ? new String(r.body(), UTF_8)
                        : "";
        return told.contains("\"confirmed\"") ? CONFIRM : null;
    }

    /** The sum of what this process has committed as a leader. */
    static long committed(final Node node, final int groups) {
        long sum = 0;
        if (node instanceof StorageNode s) {
            for (int g = 0; g < groups; g++) {
                sum += s.group(g) == null ? 0 : of(s.group(g));
            }
        } else if (node instanceof ControllerNode b) {
            sum = of(b.group());
        }
        return sum;
    }

    private static long of(final GroupMachine g) {
        return g.role() == GroupMachine.LEADER ? g.committed() : 0;
    }

    static boolean owns(final Node node, final int groups) {
        return committed(node, groups) > 0;
    }
}
