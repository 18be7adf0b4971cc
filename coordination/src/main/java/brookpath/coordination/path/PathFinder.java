package brookpath.coordination.path;

import static brookpath.coordination.path.Path.refused;

import brookpath.coordination.Tempo;
import brookpath.coordination.beat.BeatTable;
import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.group.Member;
import brookpath.coordination.message.Msg.BeatEntry;
import brookpath.coordination.spec.Placement;
import brookpath.coordination.spec.Roster;
import brookpath.coordination.spec.Roster.GroupInfo;
import brookpath.coordination.spec.Spec;

/** The decision object: asked where a job goes, from immutable tables alone. The executor obeys. */
public final class PathFinder {
    private static final String NAME = "[A-Za-z0-9._-]{1,64}";

    private final Spec spec;
    private final Roster roster;
    private final BeatTable table;
    private final boolean leased;
    private final String zone;
    private final Tempo tempo;

    public PathFinder(final Spec spec, final Roster roster, final BeatTable table, final boolean leased, final String zone, final Tempo tempo) {
        this.spec = spec;
        this.roster = roster;
        this.table = table;
        this.leased = leased;
        this.zone = zone;
        this.tempo = tempo;
    }

    /** May the key use the topic, and which group holds it? The node is left open. */
    public Path admit(final String key, final String topic) {
        final int slash = topic.indexOf('/');
        if (slash < 0 || !topic.substring(0, slash).matches(NAME) || !topic.substring(slash + 1).matches(NAME)) {
            return refused(400, 0, "topic", "a topic is space/name, each of 1 to 64 letters, digits or ._-");
        }
        if (!leased) {
            // why: the key may have been removed since; safety comes first
            return refused(503, tempo.retryAfterMs(), "spec", "this node has not heard from the control plane lately");
        }
        final Spec.Tenant tenant = spec.tenantOf(key);
        if (tenant == null) {
            return refused(401, 0, "key", "unknown key");
        }
        final String space = Spec.spaceOf(topic);
        if (!tenant.spaces().contains(space)) {
            return refused(403, 0, "topic", "space \"" + space + "\" is not among the tenant's");
        }
        if (roster.groups().isEmpty()) {
            return refused(503, tempo.retryAfterMs(), "placement", "no groups are placed yet");
        }
        final int group = Placement.groupOf(topic, spec.spaces().get(space), roster.groups().size());
        return new Path(null, tenant.name(), group, 0, "spec " + spec.version() + " puts " + topic + " into group " + group);
    }

    /** Publishes go to the group's master, as the roles in the beats tell it. */
    public Path publish(final String key, final String topic, final long now) {
        final Path path = admit(key, topic);
        return path.refusal() != null ? path : toMaster(path, now);
    }

    public Path toMaster(final Path path, final long now) {
        int master = 0;
        long epoch = -1;
        for (final Member m : groupOf(path.group()).members()) {
            final BeatEntry e = table.fresh(m.node(), path.group(), now);
            // why: two may call themselves master for a moment; the later epoch is the true one
            if (e != null && e.role() == GroupMachine.MASTER && e.epoch() > epoch && table.up(m.node())) {
                epoch = e.epoch();
                master = m.node();
            }
        }
        if (master == 0) {
            return refused(503, tempo.retryAfterMs(), "master", "group " + path.group() + " has no master just now");
        }
        return new Path(null, path.tenant(), path.group(), master, path.because() + "; node " + master + " masters it in epoch " + epoch);
    }

    /** History is read from the nearest member that is in sync: same zone first, slaves before the master. 0 for none. */
    public int nearest(final int group, final int not, final long now) {
        int best = 0;
        int bestScore = Integer.MAX_VALUE;
        for (final Member m : groupOf(group).members()) {
            final BeatEntry e = table.fresh(m.node(), group, now);
            if (e == null || !table.up(m.node()) || e.sync() != GroupMachine.SYNC_PEER) {
                continue;
            }
            final int score = (m.zone().equals(zone) ? 0 : 4) + (e.role() == GroupMachine.MASTER ? 1 : 0) + (m.node() == not ? 8 : 0);
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
