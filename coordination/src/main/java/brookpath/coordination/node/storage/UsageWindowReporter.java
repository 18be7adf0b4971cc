package brookpath.coordination.node.storage;

import static brookpath.coordination.message.ResponseStatus.OK;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.action.Actions;
import brookpath.coordination.configuration.ConfigurationClient;
import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.message.ControlRequestKind;
import brookpath.coordination.message.PeerMessage.ControlReply;
import brookpath.coordination.node.Node.Time;
import brookpath.coordination.topic.TopicState;
import brookpath.state.record.LogRecord;
import brookpath.state.record.PackedBuffer;
import java.util.List;
import java.util.TreeMap;

/**
 * Closes the usage windows of the groups that this node leads, and reports the closed windows' counts to the control
 * leader until it has acknowledged them.
 */
public final class UsageWindowReporter {
    /** In place of the newest acknowledged window where there is none. */
    private static final long NONE = -1;

    private final ConfigurationClient client;
    private final TimingBounds timing;
    private final Actions out;
    private final ReportTimes reportTimes = new ReportTimes();
    private final TreeMap<Integer, Long> acknowledgedWindow = new TreeMap<>();

    public UsageWindowReporter(final ConfigurationClient client, final TimingBounds timing, final Actions out) {
        this.client = client;
        this.timing = timing;
        this.out = out;
    }

    /**
     * Closes each window whose end the cluster clock has passed, with a log record after which nothing is counted in
     * it.
     */
    public void closeEndedWindows(final GroupMachine group, final Time time) {
        if (!client.clockKnown()) {
            return;
        }
        final long ended = (client.wall(time) - timing.heartbeat()) / timing.windowMs() - 1;
        if (TopicGroups.stateOf(group).newestClosedWindow(Long.MAX_VALUE) < ended && group.mayAct(time.mono())) {
            final byte[] body = PackedBuffer.writer().putLong(ended).toByteArray();
            group.append(LogRecord.USAGE_WINDOW_CLOSE, body, time.mono(), client.wall(time));
        }
    }

    /** Reports the counts of the windows whose closing is committed and that are not acknowledged yet. */
    public void report(final GroupMachine group, final long now) {
        if (!group.mayAct(now) || !reportTimes.isDue(group.id(), timing.detectionTime(), now)) {
            return;
        }
        final TopicState state = TopicGroups.stateOf(group);
        final long closed = state.newestClosedWindow(group.committed());
        final long acknowledged = acknowledgedWindow.getOrDefault(group.id(), NONE);
        if (closed <= acknowledged) {
            return;
        }
        reportTimes.sent(group.id(), now);
        final byte[] body = encode(group.id(), acknowledged, closed, state.counts(acknowledged, closed));
        out.send(client.controlLeader(), ControlRequestKind.USAGE.request(requestId(group.id()), body));
    }

    private static byte[] encode(
            final int group, final long acknowledged, final long closed, final List<TopicState.Count> counts) {
        final PackedBuffer buffer = PackedBuffer.writer()
                .putLong(group)
                .putLong(acknowledged)
                .putLong(closed)
                .putLong(counts.size());
        counts.forEach(count -> buffer.putLong(count.window())
                .putString(count.tenant())
                .putLong(count.publishes())
                .putLong(count.bytes()));
        return buffer.toByteArray();
    }

    /** Handles the control leader's reply: the newest window of the group that the control log has. */
    public void acknowledged(final ControlReply reply) {
        if (reply.status() == OK.code()) {
            acknowledgedWindow.put(
                    groupOf(reply.requestId()),
                    PackedBuffer.reader(reply.body()).getLong());
        }
    }

    /** A report's request ID names its group; 0 is the ID of requests without a reply. */
    private static long requestId(final int group) {
        return group + 1L;
    }

    private static int groupOf(final long requestId) {
        return (int) requestId - 1;
    }
}
