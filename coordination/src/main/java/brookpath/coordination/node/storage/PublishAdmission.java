package brookpath.coordination.node.storage;

import static brookpath.coordination.message.PublishOutcome.BUSY;
import static brookpath.coordination.message.PublishOutcome.NOT_LEADER;
import static brookpath.coordination.message.PublishOutcome.REFUSED_FOR_GOOD;

import brookpath.coordination.action.Actions;
import brookpath.coordination.configuration.Configuration;
import brookpath.coordination.configuration.ConfigurationClient;
import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.group.Quorums;
import brookpath.coordination.message.PeerMessage.Publish;
import brookpath.coordination.message.PeerMessage.PublishReply;
import brookpath.coordination.message.PublishOutcome;
import brookpath.coordination.metadata.ClusterMetadata.GroupInfo;
import brookpath.coordination.node.Node.Time;
import brookpath.coordination.topic.TopicState;
import brookpath.state.record.LogRecord;

/**
 * Decides whether the leader of a topic group accepts a publish. An accepted publish is appended to the group's log and
 * stays in {@link PendingPublishes} until it is committed; a refused one was certainly not appended.
 */
public final class PublishAdmission {
    /** The maximum number of (topic, sender) pairs of a group whose sequences are remembered. */
    private static final int MAX_SENDERS = 65_536;

    private final TopicGroups groups;
    private final ConfigurationClient client;
    private final PendingPublishes pending;
    private final HistoryMemory history;
    private final Actions out;

    /** @param history while this node is full, it appends nothing new */
    public PublishAdmission(
            final TopicGroups groups,
            final ConfigurationClient client,
            final PendingPublishes pending,
            final HistoryMemory history,
            final Actions out) {
        this.groups = groups;
        this.client = client;
        this.pending = pending;
        this.history = history;
        this.out = out;
    }

    /**
     * Accepts or refuses a publish that a gateway has forwarded.
     *
     * @return true where it is pending, so that its outcome may be decided at once
     */
    public boolean admit(final int gateway, final Publish publish, final Time time) {
        final long now = time.mono();
        final GroupMachine group = groups.get(publish.group());
        if (group == null || group.role() != GroupMachine.LEADER) {
            final int leaderHint = group == null ? 0 : group.leaderHeard();
            refuse(gateway, publish, NOT_LEADER, leaderHint, "this node is not the leader");
            return false;
        }
        final Configuration.Space space = client.configuration().spaceOf(publish.topic());
        final String unavailable = unavailableReason(publish, group, space, now);
        if (unavailable != null) {
            refuse(gateway, publish, BUSY, 0, unavailable);
            return false;
        }
        final int requiredReplicas =
                Quorums.resolve(space.replSize(), group.members().size(), group.active(now), group.floor());
        return admitSequence(gateway, publish, group, requiredReplicas, time);
    }

    /** Why this node cannot accept any publish of the space at present; null where it can. */
    private String unavailableReason(
            final Publish publish, final GroupMachine group, final Configuration.Space space, final long now) {
        if (!client.leased(now)) {
            return "the configuration lease has expired";
        }
        if (client.configuration().version() < publish.configurationVersion() || space == null) {
            return "the configuration is older than the gateway's";
        }
        if (!group.mayAct(now)) {
            return "the leader has no lease yet";
        }
        if (group.diskBacklogged()) {
            return "the leader's disk accepts no writes at present";
        }
        if (!client.clockKnown()) {
            return "the cluster clock is not known yet";
        }
        final GroupInfo info = groups.metadataOf(publish.group());
        return info == null || !info.founded() ? "the group is not founded yet" : null;
    }

    /** Appends the publish unless its sequence was appended before: publishes are idempotent per sender. */
    private boolean admitSequence(
            final int gateway,
            final Publish publish,
            final GroupMachine group,
            final int requiredReplicas,
            final Time time) {
        final TopicState state = TopicGroups.stateOf(group);
        final long earlier = state.lookUp(publish.topic(), publish.sender(), publish.seq());
        if (earlier == TopicState.TOO_LOW) {
            refuse(gateway, publish, REFUSED_FOR_GOOD, 0, "the sequence is below the sender's last one");
            return false;
        }
        if (pending.isFull(group.id())) {
            refuse(gateway, publish, BUSY, 0, "too many publishes wait for replication");
            return false;
        }
        long index = earlier;
        if (earlier == TopicState.NEW) {
            final String obstacle = appendObstacle(state, group, requiredReplicas, time.mono());
            if (obstacle != null) {
                refuse(gateway, publish, BUSY, 0, obstacle);
                return false;
            }
            index = append(publish, group, requiredReplicas, time);
        }
        // A retry waits for the replicas just as the first attempt did, and gets the same position
        pending.add(group.id(), gateway, publish.requestId(), index, requiredReplicas, time.mono());
        return true;
    }

    /** Why nothing new may be appended to the group's log at present; null where it may. */
    private String appendObstacle(
            final TopicState state, final GroupMachine group, final int requiredReplicas, final long now) {
        if (state.senders() >= MAX_SENDERS) {
            return "too many senders in the last hour";
        }
        if (history.isFull()) {
            return "the history in memory has reached its limit";
        }
        final int fullMember = group.memberWithFullHistory(now);
        if (fullMember != 0) {
            return "the history in memory of node " + fullMember + " has reached its limit";
        }
        final int active = group.active(now);
        return requiredReplicas > active
                ? "only " + active + " of " + requiredReplicas + " required replicas are active"
                : null;
    }

    private long append(final Publish publish, final GroupMachine group, final int requiredReplicas, final Time time) {
        final byte[] body = LogRecord.publishBody(
                publish.seq(), requiredReplicas, publish.tenant(), publish.topic(), publish.sender(), publish.text());
        return group.append(LogRecord.PUBLISH, body, time.mono(), client.wall(time));
    }

    private void refuse(
            final int gateway,
            final Publish publish,
            final PublishOutcome outcome,
            final int leaderHint,
            final String reason) {
        out.send(gateway, new PublishReply(publish.requestId(), outcome, 0, leaderHint, 0, reason));
    }
}
