package brookpath.coordination.node.storage;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.action.Actions;
import brookpath.coordination.configuration.ConfigurationClient;
import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.message.ControlRequestKind;
import brookpath.coordination.metadata.ClusterMetadata.GroupInfo;
import brookpath.state.record.PackedBuffer;
import java.util.TreeMap;

/**
 * Reports the state of the groups that this node leads to the control leader: that a group is founded, and the
 * membership that its log has committed. A report is repeated until the cluster metadata shows its effect.
 */
public final class GroupStateReporter {
    /** The ID of requests that have no reply: the cluster metadata shows their effect. */
    private static final long NO_REPLY = 0;

    private record ReportedMembership(int version, long sentAt) {}

    private final TopicGroups groups;
    private final ConfigurationClient client;
    private final TimingBounds timing;
    private final Actions out;
    private final ReportTimes foundedReportTimes = new ReportTimes();
    private final TreeMap<Integer, ReportedMembership> reportedMemberships = new TreeMap<>();

    public GroupStateReporter(
            final TopicGroups groups, final ConfigurationClient client, final TimingBounds timing, final Actions out) {
        this.groups = groups;
        this.client = client;
        this.timing = timing;
        this.out = out;
    }

    /**
     * Reports that the group has had a leader: from then on, a member with an empty disk is known to have lost its
     * data.
     */
    public void reportFounded(final GroupMachine group, final long now) {
        final GroupInfo info = groups.metadataOf(group.id());
        if (info != null
                && !info.founded()
                && group.mayAct(now)
                && foundedReportTimes.isDue(group.id(), timing.detectionTime(), now)) {
            foundedReportTimes.sent(group.id(), now);
            send(ControlRequestKind.FOUNDED, PackedBuffer.writer().putLong(group.id()));
        }
    }

    /** Reports the group's membership, but only once the group's own log has committed it. */
    public void reportMembership(final GroupMachine group, final long now) {
        final GroupInfo info = groups.metadataOf(group.id());
        final int version = group.membership().version();
        if (info == null || version <= info.version() || !group.membershipSettled() || !group.mayAct(now)) {
            return;
        }
        final ReportedMembership reported = reportedMemberships.get(group.id());
        if (reported != null && reported.version == version && now - reported.sentAt < timing.heartbeat()) {
            return;
        }
        reportedMemberships.put(group.id(), new ReportedMembership(version, now));
        send(
                ControlRequestKind.MEMBERS,
                group.membership().buffer(PackedBuffer.writer().putLong(group.id())));
    }

    private void send(final ControlRequestKind kind, final PackedBuffer body) {
        out.send(client.controlLeader(), kind.request(NO_REPLY, body.toByteArray()));
    }
}
