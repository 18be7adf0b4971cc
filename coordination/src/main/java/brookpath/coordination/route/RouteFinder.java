package brookpath.coordination.route;

import static brookpath.coordination.route.Route.refused;
import static brookpath.coordination.route.Route.unavailable;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.configuration.Configuration;
import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.group.Member;
import brookpath.coordination.heartbeat.HeartbeatTable;
import brookpath.coordination.message.PeerMessage.HeartbeatEntry;
import brookpath.coordination.message.ResponseStatus;
import brookpath.coordination.metadata.ClusterMetadata;
import brookpath.coordination.metadata.ClusterMetadata.GroupInfo;
import brookpath.coordination.placement.Placement;
import brookpath.coordination.text.AsciiText;
import java.util.function.IntToLongFunction;

/** Determines the destination of a request from immutable tables alone; sending it is up to the caller. Immutable. */
public final class RouteFinder {
    /**
     * The code of the refusal where no space contains the topic; the HTTP status does not distinguish this from a
     * missing permission for the space.
     */
    public static final String UNKNOWN_SPACE = "space";

    private static final int MAX_TOPIC_LENGTH = 200;

    /** The time of failure of a node that has not failed recently. */
    public static final long NOT_FAILED = Long.MIN_VALUE;

    /** The penalties of members to read from, the largest first: the member with the lowest sum is preferred. */
    private static final int OTHER_ZONE_PENALTY = 4;

    private static final int LEADER_PENALTY = 1;

    private final Configuration configuration;
    private final ClusterMetadata metadata;
    private final HeartbeatTable table;
    private final boolean leased;
    private final String zone;
    private final TimingBounds timing;

    /**
     * @param configuration the configuration
     * @param metadata the cluster metadata: which members each group has
     * @param table the newest heartbeats
     * @param leased whether this node holds the lease on the configuration
     * @param zone the zone of this node, whose members are preferred for reads
     */
    public RouteFinder(
            final Configuration configuration,
            final ClusterMetadata metadata,
            final HeartbeatTable table,
            final boolean leased,
            final String zone,
            final TimingBounds timing) {
        this.configuration = configuration;
        this.metadata = metadata;
        this.table = table;
        this.leased = leased;
        this.zone = zone;
        this.timing = timing;
    }

    /** Checks whether the key may use the topic, and finds its group. The node remains undecided. */
    public Route admit(final String key, final String topic) {
        if (!AsciiText.isPrintable(topic, MAX_TOPIC_LENGTH)) {
            return refused(
                    ResponseStatus.BAD_REQUEST, 0, "topic", "a topic is 1 to 200 printable characters without a space");
        }
        if (!leased) {
            // the key may have been revoked since the lease expired, so the request is refused
            return unavailable(timing, "spec", "this node has not heard from the control plane lately");
        }
        final Configuration.Tenant tenant = configuration.tenantOf(key);
        final Configuration.Space space = configuration.spaceOf(topic);
        // the key is checked first, so that callers without one learn only whether a space is open
        if (tenant == null && (!key.isEmpty() || (space != null && !space.open()))) {
            return refused(ResponseStatus.UNAUTHORIZED, 0, "key", key.isEmpty() ? "a key is needed" : "unknown key");
        }
        if (space == null) {
            return refused(ResponseStatus.FORBIDDEN, 0, UNKNOWN_SPACE, "no space contains this topic");
        }
        if (tenant != null && !tenant.hasAccessTo(space.name())) {
            return refused(
                    ResponseStatus.FORBIDDEN,
                    0,
                    "topic",
                    "space \"" + space.name() + "\" is not one of the tenant's spaces");
        }
        if (metadata.groups().isEmpty()) {
            return unavailable(timing, "placement", "no groups are placed yet");
        }
        final int group = Placement.groupOf(topic, space, metadata.groups().size());
        return new Route(
                null,
                tenant == null ? "" : tenant.name(),
                group,
                0,
                "spec " + configuration.version() + " puts " + topic + " into group " + group);
    }

    /** The route of a publish: to the group's leader according to the heartbeats. */
    public Route publish(final String key, final String topic, final long now) {
        final Route route = admit(key, topic);
        return route.isRefused() ? route : toLeader(route, now);
    }

    /**
     * The leader of a group.
     *
     * @param node 0 for none
     */
    public record Leader(int node, long term) {
        /** A group without a leader. */
        public static final Leader NONE = new Leader(0, -1);
    }

    /** The leader of the group according to the heartbeats. */
    public Leader leader(final int group, final long now) {
        Leader leader = Leader.NONE;
        for (final Member m : groupOf(group).members()) {
            final HeartbeatEntry e = table.fresh(m.node(), group, now);
            // two members may briefly claim to be the leader; the one with the higher term is
            if (e != null && e.role() == GroupMachine.LEADER && e.term() > leader.term && table.up(m.node())) {
                leader = new Leader(m.node(), e.term());
            }
        }
        return leader;
    }

    /** An admitted route to the group's leader; a retryable refusal where there is none. */
    public Route toLeader(final Route route, final long now) {
        final Leader leader = leader(route.group(), now);
        if (leader.node == 0) {
            return unavailable(timing, "master", "group " + route.group() + " has no leader at present");
        }
        return new Route(
                null,
                route.tenant(),
                route.group(),
                leader.node,
                route.because() + "; node " + leader.node + " leads it in term " + leader.term);
    }

    /**
     * Selects an in-sync member to read from: same zone first, then followers before the leader. 0 for none.
     *
     * @param failedAt when a node failed, {@link #NOT_FAILED} where it has not failed recently; failed members are
     *     selected last, the one that failed longest ago first
     */
    public int nearest(final int group, final IntToLongFunction failedAt, final long now) {
        int best = 0;
        int bestScore = Integer.MAX_VALUE;
        long bestFailedAt = Long.MAX_VALUE;
        for (final Member m : groupOf(group).members()) {
            final HeartbeatEntry e = table.fresh(m.node(), group, now);
            if (e == null || !table.up(m.node()) || e.sync() != GroupMachine.SYNC_PEER) {
                continue;
            }
            final int score = (m.zone().equals(zone) ? 0 : OTHER_ZONE_PENALTY)
                    + (e.role() == GroupMachine.LEADER ? LEADER_PENALTY : 0);
            // by score alone, a dead member would be retried again and again although the others can serve reads again
            final long memberFailedAt = failedAt.applyAsLong(m.node());
            if (memberFailedAt < bestFailedAt || (memberFailedAt == bestFailedAt && score < bestScore)) {
                bestFailedAt = memberFailedAt;
                bestScore = score;
                best = m.node();
            }
        }
        return best;
    }

    private GroupInfo groupOf(final int group) {
        return metadata.groups().get(group);
    }
}
