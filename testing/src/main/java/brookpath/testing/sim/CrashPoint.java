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

/** The step in a leader's work after which its process is to crash. It is a step rather than a time. */
enum CrashPoint {
    /** A published record is appended but nothing of it is written yet. */
    APPEND,
    /** A published record is synced on the leader, and no other process knows. */
    SYNC,
    /** The committed position has advanced, and no other process has been told. */
    ACCEPT,
    /** The acceptance has just been sent. */
    ANSWER,
    /** The record that closes a window is synced on the leader. */
    CLOSE,
    /** A membership record is synced on the leader. */
    MEMBERS,
    /** A usage total is synced on the leader. */
    USAGE,
    /** The confirmation of a change has just been sent. */
    CONFIRM;

    private static final int GROUP_RECORD = 1;

    /** The point that is reached once this entry is synced, null for none. A published record gives {@link #SYNC}. */
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

    /** The point that is reached once this action has been executed, null for none. */
    static CrashPoint ofAction(final Action action) {
        if (action instanceof Action.Send s
                && s.message() instanceof PeerMessage.PublishReply r
                && r.outcome() == PublishOutcome.ACCEPTED) {
            return ANSWER;
        }
        final String json = action instanceof Action.Respond r
                ? r.response().json()
                : action instanceof Action.Send s && s.message() instanceof PeerMessage.ControlReply r
                        ? new String(r.body(), UTF_8)
                        : "";
        return json.contains("\"confirmed\"") ? CONFIRM : null;
    }

    /** The sum of the committed positions of all groups that this process leads. */
    static long committed(final Node node, final int groups) {
        long sum = 0;
        if (node instanceof StorageNode s) {
            for (int g = 0; g < groups; g++) {
                sum += s.group(g) == null ? 0 : committedAsLeader(s.group(g));
            }
        } else if (node instanceof ControllerNode controller) {
            sum = committedAsLeader(controller.group());
        }
        return sum;
    }

    private static long committedAsLeader(final GroupMachine g) {
        return g.role() == GroupMachine.LEADER ? g.committed() : 0;
    }

    /** Whether this process leads a group that has committed a record. */
    static boolean leads(final Node node, final int groups) {
        return committed(node, groups) > 0;
    }
}
