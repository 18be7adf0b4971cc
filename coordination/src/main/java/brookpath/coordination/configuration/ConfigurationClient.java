package brookpath.coordination.configuration;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.action.Actions;
import brookpath.coordination.message.PeerMessage.ConfigurationPoll;
import brookpath.coordination.message.PeerMessage.ConfigurationReply;
import brookpath.coordination.metadata.ClusterMetadata;
import brookpath.coordination.metadata.ClusterMetadata.NodeInfo;
import brookpath.coordination.node.Node.Time;
import brookpath.state.record.Delta;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;

/**
 * Follows the configuration and the cluster metadata: polls the control leader with the versions that this process has,
 * and holds the lease on the configuration. Used on the state thread only.
 */
public final class ConfigurationClient {
    /** Sent in place of a version, so that the reply carries the complete documents. */
    private static final int NOTHING_KNOWN = -1;

    private static final int NO_LEADER = 0;
    /** Polls beyond so many are no longer awaited, the oldest first; their lease would be over or nearly so. */
    private static final int MAX_OUTSTANDING = 4;

    /** A poll whose reply may still come, also after another controller was polled in its place. */
    private record SentPoll(long id, long sentAt, int target, boolean relayed) {}

    private final NodeInfo info;
    private final int self;
    private final int role;
    /**
     * The controllers that may be polled: those of the settings, and those that the cluster metadata has named since.
     */
    private List<Integer> controllers;

    private final TimingBounds timing;
    private final Actions out;

    private Configuration configuration = Configuration.NONE;
    private ClusterMetadata metadata = ClusterMetadata.NONE;
    /** The encoded documents as received, to which later deltas apply. */
    private byte[] configurationBytes = VersionUpdates.NO_UPDATE;

    private byte[] metadataBytes = VersionUpdates.NO_UPDATE;
    private boolean known;
    /** Whether a delta did not apply, so that the next reply must carry both documents in full. */
    private boolean wantsWhole;

    private long leaseUntil = Long.MIN_VALUE;
    private final ArrayDeque<SentPoll> outstanding = new ArrayDeque<>();
    private long pollId;
    private int pollsSent;
    private long sentAt;
    private long nextAt = Long.MIN_VALUE;
    private boolean polling;
    private int target;
    private int turn;
    private boolean drain;
    private boolean relay;
    /** Polls are forwarded only because the leader's address is not known yet. */
    private boolean leaderUnknown;

    private long relayUntil;
    private long clockAhead = Long.MIN_VALUE;

    /**
     * @param info this process as peers see it; peers reach a storage node or a controller at its address, callers a
     *     gateway
     * @param firstId where the polls' IDs begin; it differs in each incarnation of the process: a reply that a third
     *     node forwards may outlive the incarnation that polled, and must not grant a lease to the next one
     */
    public ConfigurationClient(
            final NodeInfo info,
            final int role,
            final List<Integer> seeds,
            final long firstId,
            final TimingBounds timing,
            final Actions out) {
        this.info = info;
        self = info.node();
        this.role = role;
        pollId = firstId;
        controllers = seeds.stream().filter(n -> n != self).toList();
        this.timing = timing;
        this.out = out;
        turn = controllers.isEmpty() ? 0 : Math.floorMod(self, controllers.size());
        target = controllers.isEmpty() ? 0 : controllers.get(turn);
    }

    /** The newest configuration that this process has. */
    public Configuration configuration() {
        return configuration;
    }

    /** The newest cluster metadata that this process has. */
    public ClusterMetadata metadata() {
        return metadata;
    }

    /** The node number of the controller that is polled; 0 for none. */
    public int controlLeader() {
        return target;
    }

    /** The node number of the control leader that has replied lately; 0 for none. */
    public int leaderHeard(final long now) {
        return leased(now) && !relay ? target : 0;
    }

    /** Sets whether this process drains; the next poll notifies the control leader of it. */
    public void drain(final boolean on) {
        drain = on;
    }

    /** Whether this process drains. */
    public boolean draining() {
        return drain;
    }

    /**
     * Whether this process holds the lease on the configuration. Without it, before the first reply or after its
     * expiry, nothing is served.
     */
    public boolean leased(final long now) {
        return known && now < leaseUntil;
    }

    /** The end of the lease, in monotonic milliseconds of this process. */
    public long leaseUntil() {
        return known ? leaseUntil : Long.MIN_VALUE;
    }

    /** How many polls this process has sent since its start, answered or not. */
    public int pollsSent() {
        return pollsSent;
    }

    /** Whether the fleet's clock is known; records are never stamped by this node's own clock, which may be wrong. */
    public boolean clockKnown() {
        return clockAhead != Long.MIN_VALUE;
    }

    /** The fleet's time as the control leader sent it, in milliseconds since the epoch. */
    public long wall(final Time time) {
        return clockKnown() ? time.mono() + clockAhead : 0;
    }

    /** Sends the next poll if it is due, and abandons one without a timely reply. */
    public void tick(final Time time) {
        final long now = time.mono();
        if (polling && now - sentAt > timing.configurationDeadline()) {
            polling = false;
            unreached(now);
        }
        if (!polling && now >= nextAt && target != 0) {
            poll(time);
        }
    }

    /**
     * The polled controller cannot be reached. Another one may reach it, so that polls are sent there to be forwarded
     * for a while.
     */
    private void unreached(final long now) {
        // Before the first reply the controller may just not have started yet
        relay = known;
        relayUntil = now + 2 * timing.changeMs() * 4 / 5;
        nextSeed();
    }

    private void nextSeed() {
        if (!controllers.isEmpty()) {
            turn = (turn + 1) % controllers.size();
            target = controllers.get(turn);
        }
    }

    /**
     * Adopts the cluster metadata that this process kept on its disk, at its start: who its peers are, until a control
     * leader sends the newest. No lease comes with it.
     */
    public void restore(final ClusterMetadata kept) {
        metadata = kept;
        metadataBytes = kept.save();
        addControllers(kept.controllers());
    }

    /** Adds controllers that may be polled, from a log that may be outdated. */
    public void addControllers(final List<ClusterMetadata.NodeInfo> more) {
        final List<Integer> all = new ArrayList<>(controllers);
        more.stream()
                .map(ClusterMetadata.NodeInfo::node)
                .filter(n -> n != self && !all.contains(n))
                .forEach(all::add);
        controllers = List.copyOf(all);
        if (target == 0) {
            nextSeed();
        }
    }

    /** A forwarded reply brought the leader's address, so that the next poll can be sent there directly. */
    private void askDirectly(final int leader) {
        if (leaderUnknown && controllers.contains(leader)) {
            relay = false;
            target = leader;
        }
        leaderUnknown = false;
    }

    private void learn() {
        final List<Integer> known = new ArrayList<>(controllers);
        metadata.controllers().forEach(b -> {
            if (b.node() != self && !known.contains(b.node())) {
                known.add(b.node());
            }
        });
        // Controllers of the settings may have been removed since
        if (!metadata.controllers().isEmpty()) {
            known.removeIf(n -> n != target && metadata.controllers().stream().noneMatch(b -> b.node() == n));
        }
        controllers = List.copyOf(known);
        turn = Math.max(0, controllers.indexOf(target));
    }

    private void poll(final Time time) {
        final long now = time.mono();
        polling = true;
        sentAt = now;
        relay &= now < relayUntil;
        pollId++;
        pollsSent++;
        outstanding.add(new SentPoll(pollId, now, target, relay));
        if (outstanding.size() > MAX_OUTSTANDING) {
            outstanding.remove();
        }
        out.send(
                target,
                new ConfigurationPoll(
                        pollId,
                        self,
                        role,
                        info.zone(),
                        info.address(),
                        info.name(),
                        known && !wantsWhole ? configuration.version() : NOTHING_KNOWN,
                        known && !wantsWhole ? metadata.version() : NOTHING_KNOWN,
                        drain,
                        relay,
                        time.wall(),
                        info.machine()));
    }

    /**
     * The poll was not sent, or its connection broke: polls again at once, since waiting for the deadline would only
     * use up the lease.
     */
    public void unsent(final int to, final long now) {
        if (polling && to == target) {
            polling = false;
            unreached(now);
            nextAt = now + timing.tick();
        }
    }

    /**
     * Handles the reply to a poll; true where it brought a newer configuration or cluster metadata. A reply that comes
     * after another controller was polled in its place counts like any other: a process that handles replies late would
     * otherwise lose its lease although the control plane grants it again and again.
     */
    public boolean onReply(final ConfigurationReply reply, final Time time) {
        final SentPoll answered = removeOutstanding(reply.pollId());
        if (answered == null) {
            return false;
        }
        final boolean late = !polling || answered.id != pollId;
        polling &= late;
        if (!reply.leader()) {
            if (!late) {
                followLeaderHint(reply.leaderHint(), time.mono());
            }
            return false;
        }
        if (reply.configurationVersion() < configuration.version()) {
            // A process that has served a version never returns to an older one
            if (!late) {
                out.error("spec went back from " + configuration.version() + " to " + reply.configurationVersion());
            }
            return false;
        }
        final boolean changed;
        try {
            changed = take(reply) || !known;
        } catch (final Delta.MismatchException ex) {
            if (!late) {
                // No lease without the configuration that it covers; the complete document needs no base
                out.note("asks for the whole configuration: " + ex.getMessage());
                wantsWhole = true;
                poll(time);
            }
            return false;
        }
        adopt(reply, answered, late, time);
        return changed;
    }

    /** The poll with this ID, which is no longer awaited from here on; null where it is not awaited. */
    private SentPoll removeOutstanding(final long id) {
        // why: by the iterator, since a record's equals is linked at its first use, which delays the first lease
        for (final Iterator<SentPoll> polls = outstanding.iterator(); polls.hasNext(); ) {
            final SentPoll poll = polls.next();
            if (poll.id == id) {
                polls.remove();
                return poll;
            }
        }
        return null;
    }

    /** Renews the lease by a reply of the leader, and polls again unless a newer poll is in flight. */
    private void adopt(final ConfigurationReply reply, final SentPoll answered, final boolean late, final Time time) {
        wantsWhole = false;
        known = true;
        if (!late) {
            askDirectly(reply.leaderHint());
        } else if (!answered.relayed) {
            target = answered.target;
            relay = false;
        }
        renewLease(reply, answered.sentAt, time.mono());
        if (!polling) {
            poll(time);
        }
    }

    /** The polled controller does not lead: polls the leader that it names, else the next controller. */
    private void followLeaderHint(final int hint, final long now) {
        final boolean usable = !relay && hint != NO_LEADER && hint != target;
        if (usable && controllers.contains(hint)) {
            target = hint;
            nextAt = now;
        } else if (usable) {
            // A leader outside the settings is known by number only; the controller that names it forwards the poll,
            // and the cluster metadata brings its address
            relay = true;
            leaderUnknown = true;
            relayUntil = now + timing.configurationHold();
            nextAt = now;
        } else {
            nextSeed();
            nextAt = now + timing.tick();
        }
    }

    private void renewLease(final ConfigurationReply reply, final long polledAt, final long now) {
        // The lease runs from when the poll was sent, which is before it was granted
        leaseUntil = Math.max(leaseUntil, polledAt + timing.configurationLease());
        if (reply.wall() != 0) {
            clockAhead = reply.wall() - now;
        }
    }

    /**
     * Adopts the newer documents of the reply, or none where one delta does not apply. True where there was a newer
     * one.
     */
    private boolean take(final ConfigurationReply m) throws Delta.MismatchException {
        final boolean newConfiguration = m.configurationVersion() > configuration.version();
        final boolean newMetadata = m.metadataVersion() > metadata.version();
        final byte[] nextConfiguration =
                newConfiguration ? Delta.apply(configurationBytes, m.configuration()) : configurationBytes;
        final byte[] nextMetadata = newMetadata ? Delta.apply(metadataBytes, m.metadata()) : metadataBytes;
        if (newConfiguration) {
            // why: not the operator's text, which the control plane has parsed and checked; doing so again took a
            // gateway on a small machine seconds before its first lease
            configuration = PackedConfiguration.decode(nextConfiguration);
            configurationBytes = nextConfiguration;
        }
        if (newMetadata) {
            metadata = ClusterMetadata.load(nextMetadata);
            metadataBytes = nextMetadata;
            learn();
        }
        return newConfiguration || newMetadata;
    }
}
