package brookpath.coordination.route;

import static brookpath.coordination.route.Route.refused;

import brookpath.coordination.Tempo;
import brookpath.coordination.beat.BeatTable;
import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.group.Member;
import brookpath.coordination.message.Msg.BeatEntry;
import brookpath.coordination.spec.Placement;
import brookpath.coordination.spec.Roster;
import brookpath.coordination.spec.Roster.GroupInfo;
import brookpath.coordination.spec.Spec;
import java.util.function.IntPredicate;

/** Decides where a request goes, from immutable tables alone. Whoever asks sends it there. */
public final class RouteFinder {
    /**
     * The refusal's code where no space has such a topic; callers over HTTP are not told it by status from a space that
     * is not theirs.
     */
    public static final String UNKNOWN_SPACE = "space";

    private static final String TOPIC = "[!-~]{1,200}";

    /** Members to read from are compared by these, the heaviest first. */
    private static final int AVOIDED_PENALTY = 8;

    private static final int OTHER_ZONE_PENALTY = 4;
    private static final int MASTER_PENALTY = 1;

    private final Spec spec;
    private final Roster roster;
    private final BeatTable table;
    private final boolean leased;
    private final String zone;
    private final Tempo tempo;

    /**
     * @param spec the configuration
     * @param roster the cluster's metadata: which members each group has
     * @param table the newest heartbeats
     * @param leased whether this node holds the lease on the configuration
     * @param zone the zone of this node, where history is read from if it can be
     */
    public RouteFinder(
            final Spec spec,
            final Roster roster,
            final BeatTable table,
            final boolean leased,
            final String zone,
            final Tempo tempo) {
        this.spec = spec;
        this.roster = roster;
        this.table = table;
        this.leased = leased;
        this.zone = zone;
        this.tempo = tempo;
    }

    /** May the key use the topic, and which group holds it? The node is left open. */
    public Route admit(final String key, final String topic) {
        if (!topic.matches(TOPIC)) {
            return refused(400, 0, "topic", "a topic is 1 to 200 printable characters without a space");
        }
        if (!leased) {
            // the key may have been removed since; safety comes first
            return refused(503, tempo.retryAfterMs(), "spec", "this node has not heard from the control plane lately");
        }
        final Spec.Tenant tenant = spec.tenantOf(key);
        final Spec.Space space = spec.spaceOf(topic);
        // the key is judged first; who has none learns nothing of the spaces but whether one is open
        if (tenant == null && (!key.isEmpty() || (space != null && !space.open()))) {
            return refused(401, 0, "key", key.isEmpty() ? "a key is needed" : "unknown key");
        }
        if (space == null) {
            return refused(403, 0, UNKNOWN_SPACE, "no space has a topic of this name");
        }
        if (tenant != null && !tenant.uses(space.name())) {
            return refused(403, 0, "topic", "space \"" + space.name() + "\" is not among the tenant's");
        }
        if (roster.groups().isEmpty()) {
            return refused(503, tempo.retryAfterMs(), "placement", "no groups are placed yet");
        }
        final int group = Placement.groupOf(topic, space, roster.groups().size());
        return new Route(
                null,
                tenant == null ? "" : tenant.name(),
                group,
                0,
                "spec " + spec.version() + " puts " + topic + " into group " + group);
    }

    /** Publishes go to the group's master, as the roles in the beats tell it. */
    public Route publish(final String key, final String topic, final long now) {
        final Route route = admit(key, topic);
        return route.isRefused() ? route : toMaster(route, now);
    }

    /**
     * The master of a group.
     *
     * @param node 0 for none
     */
    public record Master(int node, long epoch) {
        /** A group without a master. */
        public static final Master NONE = new Master(0, -1);
    }

    /** Who masters the group, as the roles in the beats tell it. */
    public Master master(final int group, final long now) {
        Master master = Master.NONE;
        for (final Member m : groupOf(group).members()) {
            final BeatEntry e = table.fresh(m.node(), group, now);
            // two may call themselves master for a moment; the later epoch is the true one
            if (e != null && e.role() == GroupMachine.MASTER && e.epoch() > master.epoch && table.up(m.node())) {
                master = new Master(m.node(), e.epoch());
            }
        }
        return master;
    }

    /** An admitted route to the group's master; refused for now where there is none. */
    public Route toMaster(final Route route, final long now) {
        final Master master = master(route.group(), now);
        if (master.node == 0) {
            return refused(503, tempo.retryAfterMs(), "master", "group " + route.group() + " has no master just now");
        }
        return new Route(
                null,
                route.tenant(),
                route.group(),
                master.node,
                route.because() + "; node " + master.node + " masters it in epoch " + master.epoch);
    }

    /**
     * History is read from the nearest member that is in sync: same zone first, slaves before the master. 0 for none.
     *
     * @param avoided those that have not responded lately are asked last
     */
    public int nearest(final int group, final IntPredicate avoided, final long now) {
        int best = 0;
        int bestScore = Integer.MAX_VALUE;
        for (final Member m : groupOf(group).members()) {
            final BeatEntry e = table.fresh(m.node(), group, now);
            if (e == null || !table.up(m.node()) || e.sync() != GroupMachine.SYNC_PEER) {
                continue;
            }
            final int score = (avoided.test(m.node()) ? AVOIDED_PENALTY : 0)
                    + (m.zone().equals(zone) ? 0 : OTHER_ZONE_PENALTY)
                    + (e.role() == GroupMachine.MASTER ? MASTER_PENALTY : 0);
            if (score < bestScore) {
                bestScore = score;
                best = m.node();
            }
        }
        return best;
    }

    private GroupInfo groupOf(final int group) {
        return roster.groups().get(group);
    }
}
