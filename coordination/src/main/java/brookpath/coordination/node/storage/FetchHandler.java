package brookpath.coordination.node.storage;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.action.Actions;
import brookpath.coordination.configuration.ConfigurationClient;
import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.message.FetchStatus;
import brookpath.coordination.message.PeerMessage.Fetch;
import brookpath.coordination.message.PeerMessage.FetchReply;
import java.util.List;

/**
 * Serves the gateways' reads of committed records. A long poll that finds no record is answered once there is one, or
 * after {@link TimingBounds#longPollTimeout()}; every other fetch is answered at once.
 */
public final class FetchHandler {
    private static final long AT_ONCE = Long.MIN_VALUE;
    private static final long NEVER = Long.MAX_VALUE;

    private final TopicGroups groups;
    private final ConfigurationClient client;
    private final Actions out;
    private final PendingFetches pending;
    private final TopicInterests interests = new TopicInterests();

    public FetchHandler(
            final TopicGroups groups, final ConfigurationClient client, final TimingBounds timing, final Actions out) {
        this.groups = groups;
        this.client = client;
        this.out = out;
        pending = new PendingFetches(timing);
    }

    /** Handles a gateway's fetch; the reply is sent now, or later for a long poll without records. */
    public void fetch(final int gateway, final Fetch fetch, final long now) {
        final GroupMachine group = groups.get(fetch.group());
        if (group == null || !group.inSync(now) || !client.leased(now)) {
            replyWithoutRecords(gateway, fetch, FetchStatus.NOT_HERE, 0);
            return;
        }
        if (fetch.longPoll() && !interests.update(gateway, fetch)) {
            replyWithoutRecords(gateway, fetch, FetchStatus.TOPICS_UNKNOWN, 0);
            return;
        }
        final long deadline = fetch.longPoll() ? NEVER : AT_ONCE;
        if (!serve(gateway, fetch, group, deadline, now)) {
            pending.add(gateway, fetch, now);
        }
    }

    /**
     * Replies to the long polls that a change of the group's commit index or sync state, or their deadline, has made
     * due.
     */
    public void servePending(final GroupMachine group, final long now) {
        pending.removeAnswered(
                group.id(), waiting -> serve(waiting.gateway(), waiting.fetch(), group, waiting.deadline(), now));
    }

    /**
     * Replies to a fetch if there is anything to reply.
     *
     * @param deadline when it is answered even without a record, in monotonic milliseconds
     * @return true where the fetch was answered
     */
    private boolean serve(
            final int gateway, final Fetch fetch, final GroupMachine group, final long deadline, final long now) {
        if (fetch.tail()) {
            replyWithoutRecords(gateway, fetch, FetchStatus.OK, group.committed());
            return true;
        }
        final FetchScan scan = fetch.longPoll()
                ? FetchScan.ofLongPoll(group, interests.topics(group.id(), gateway), fetch.at())
                : FetchScan.ofPositions(group, fetch);
        scan.run();
        // Replied to before the deadline of the long poll, so that the gateway can retry with another replica
        if (scan.isDamaged() || (scan.records().isEmpty() && !group.inSync(now))) {
            replyWithoutRecords(gateway, fetch, FetchStatus.NOT_HERE, 0);
            return true;
        }
        final List<String> trimmed = scan.trimmedTopics();
        if (scan.records().isEmpty() && trimmed.isEmpty() && now < deadline) {
            return false;
        }
        out.send(
                gateway,
                new FetchReply(
                        fetch.requestId(), group.id(), FetchStatus.OK, scan.scannedTo(), trimmed, scan.records()));
        return true;
    }

    private void replyWithoutRecords(
            final int gateway, final Fetch fetch, final FetchStatus status, final long scannedTo) {
        out.send(gateway, new FetchReply(fetch.requestId(), fetch.group(), status, scannedTo, List.of(), List.of()));
    }

    /** Discards the long polls of a dropped group; the gateways retry with other replicas. */
    public void drop(final int group) {
        pending.drop(group);
        interests.drop(group);
    }
}
