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
    /**
     * The maximum number of polls whose replies are awaited. The oldest are dropped first: the leases that their
     * replies would grant have expired, or nearly so.
     */
    private static final int MAX_OUTSTANDING = 4;

    /** A poll whose reply is still awaited, even if another controller has been polled since. */
    private record SentPoll(long id, long sentAt, int target, boolean relayed) {}

    private final NodeInfo info;
    private final int self;
    private final int role;
    /**
     * The controllers that may be polled: those in the settings, and those that the cluster metadata has named since.
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
    private boolean needsFullDocuments;

    private long leaseUntil = Long.MIN_VALUE;
    private final ArrayDeque<SentPoll> outstanding = new ArrayDeque<>();
    private long pollId;
    private int pollsSent;
    private long sentAt;
    private long nextAt = Long.MIN_VALUE;
    private boolean polling;
    private int target;
    private int controllerIndex;
    private boolean drain;
    private boolean relay;
    /** Whether polls are relayed only because the leader's address is not known yet. */
    private boolean leaderUnknown;

    private long relayUntil;
    private long clockAhead = Long.MIN_VALUE;

    /**
     * @param info this process as peers see it; peers reach a storage node or a controller at its address, callers a
     *     gateway
     * @param firstId where the IDs of polls begin. It differs in each incarnation of the process: a reply relayed by a
     *     third node may arrive after the incarnation that polled has ended, and must not grant a lease to the next one
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
        controllerIndex = controllers.isEmpty() ? 0 : Math.floorMod(self, controllers.size());
        target = controllers.isEmpty() ? 0 : controllers.get(controllerIndex);
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

    /** The node number of the control leader that has replied recently; 0 for none. */
    public int leaderHeard(final long now) {
        return leased(now) && !relay ? target : 0;
    }

    /** Sets whether this process is draining; the next poll notifies the control leader. */
    public void drain(final boolean on) {
        drain = on;
    }

    /** Whether this process is draining. */
    public boolean draining() {
        return drain;
    }

    /**
     * Whether this process holds the configuration lease. Nothing is served without it: before the first reply, and
     * after its expiry.
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

    /**
     * Whether the fleet's clock is known. Records are never timestamped by this node's own clock, which may be wrong.
     */
    public boolean clockKnown() {
        return clockAhead != Long.MIN_VALUE;
    }

    /** The fleet's time as the control leader sent it, in milliseconds since the epoch. */
    public long wall(final Time time) {
        return clockKnown() ? time.mono() + clockAhead : 0;
    }

    /** Sends the next poll if it is due, and gives up on a poll whose reply is overdue. */
    public void tick(final Time time) {
        final long now = time.mono();
        if (polling && now - sentAt > timing.configurationDeadline()) {
            polling = false;
            relayViaNextController(now);
        }
        if (!polling && now >= nextAt && target != 0) {
            poll(time);
        }
    }

    /**
     * Called when the polled controller cannot be reached. Another controller may be able to reach the control leader,
     * so for a while polls are sent to that one to be relayed.
     */
    private void relayViaNextController(final long now) {
        // Before the first reply, the controller may simply not have started yet
        relay = known;
        relayUntil = now + 2 * timing.changeMs() * 4 / 5;
        nextController();
    }

    private void nextController() {
        if (!controllers.isEmpty()) {
            controllerIndex = (controllerIndex + 1) % controllers.size();
            target = controllers.get(controllerIndex);
        }
    }

    /**
     * Adopts, at the start of the process, the cluster metadata stored on its disk, so that it knows its peers before a
     * control leader sends the newest version. This grants no lease.
     */
    public void restore(final ClusterMetadata kept) {
        metadata = kept;
        metadataBytes = kept.save();
        addControllers(kept.controllers());
    }

    /** Adds controllers that may be polled; they may come from outdated cluster metadata. */
    public void addControllers(final List<ClusterMetadata.NodeInfo> more) {
        final List<Integer> all = new ArrayList<>(controllers);
        more.stream()
                .map(ClusterMetadata.NodeInfo::node)
                .filter(n -> n != self && !all.contains(n))
                .forEach(all::add);
        controllers = List.copyOf(all);
        if (target == 0) {
            nextController();
        }
    }

    /** Polls the leader directly from now on, if polls were relayed only until its address was known. */
    private void pollDirectly(final int leader) {
        if (leaderUnknown && controllers.contains(leader)) {
            relay = false;
            target = leader;
        }
        leaderUnknown = false;
    }

    private void updateControllers() {
        final List<Integer> updated = new ArrayList<>(controllers);
        metadata.controllers().forEach(controller -> {
            if (controller.node() != self && !updated.contains(controller.node())) {
                updated.add(controller.node());
            }
        });
        // Controllers in the settings may have been removed from the cluster since
        if (!metadata.controllers().isEmpty()) {
            updated.removeIf(n ->
                    n != target && metadata.controllers().stream().noneMatch(controller -> controller.node() == n));
        }
        controllers = List.copyOf(updated);
        controllerIndex = Math.max(0, controllers.indexOf(target));
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
                        known && !needsFullDocuments ? configuration.version() : NOTHING_KNOWN,
                        known && !needsFullDocuments ? metadata.version() : NOTHING_KNOWN,
                        drain,
                        relay,
                        time.wall(),
                        info.machine()));
    }

    /**
     * Called when the poll was not sent, or its connection broke: polls again at once, since waiting for the deadline
     * would only use up the lease.
     */
    public void unsent(final int to, final long now) {
        if (polling && to == target) {
            polling = false;
            relayViaNextController(now);
            nextAt = now + timing.tick();
        }
    }

    /**
     * Handles the reply to a poll; true if it brought a newer configuration or newer cluster metadata. A reply that
     * arrives after another controller has been polled counts like any other: otherwise a process that is slow to
     * handle replies would lose its lease although the control plane keeps renewing it.
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
            // A process that has served by one version never returns to an older one
            if (!late) {
                out.error("configuration version went back from " + configuration.version() + " to "
                        + reply.configurationVersion());
            }
            return false;
        }
        final boolean changed;
        try {
            changed = applyDocuments(reply) || !known;
        } catch (final Delta.MismatchException ex) {
            if (!late) {
                // A lease is only valid with the configuration that it covers. The complete document applies without a
                // base version
                out.note("asks for the whole configuration: " + ex.getMessage());
                needsFullDocuments = true;
                poll(time);
            }
            return false;
        }
        onLeaderReply(reply, answered, late, time);
        return changed;
    }

    /** Removes and returns the awaited poll with this ID; null if there is none. */
    private SentPoll removeOutstanding(final long id) {
        // Uses the iterator, since a record's equals method is linked at its first use, which would delay the first
        // lease
        for (final Iterator<SentPoll> polls = outstanding.iterator(); polls.hasNext(); ) {
            final SentPoll poll = polls.next();
            if (poll.id == id) {
                polls.remove();
                return poll;
            }
        }
        return null;
    }

    /** Renews the lease after a reply from the leader, and polls again unless a newer poll is in flight. */
    private void onLeaderReply(
            final ConfigurationReply reply, final SentPoll answered, final boolean late, final Time time) {
        needsFullDocuments = false;
        known = true;
        if (!late) {
            pollDirectly(reply.leaderHint());
        } else if (!answered.relayed) {
            target = answered.target;
            relay = false;
        }
        renewLease(reply, answered.sentAt, time.mono());
        if (!polling) {
            poll(time);
        }
    }

    /**
     * Called when the polled controller is not the leader: polls the leader that it names, else the next controller.
     */
    private void followLeaderHint(final int hint, final long now) {
        final boolean usable = !relay && hint != NO_LEADER && hint != target;
        if (usable && controllers.contains(hint)) {
            target = hint;
            nextAt = now;
        } else if (usable) {
            // Only the number of a leader outside the settings is known. The controller that names it relays the poll,
            // and the cluster metadata in the reply has its address
            relay = true;
            leaderUnknown = true;
            relayUntil = now + timing.configurationHold();
            nextAt = now;
        } else {
            nextController();
            nextAt = now + timing.tick();
        }
    }

    private void renewLease(final ConfigurationReply reply, final long polledAt, final long now) {
        // The lease starts when the poll was sent, which is before the leader granted it
        leaseUntil = Math.max(leaseUntil, polledAt + timing.configurationLease());
        if (reply.wall() != 0) {
            clockAhead = reply.wall() - now;
        }
    }

    /**
     * Applies the newer documents in the reply, or none if a delta does not apply; true if there was a newer document.
     */
    private boolean applyDocuments(final ConfigurationReply reply) throws Delta.MismatchException {
        final boolean newConfiguration = reply.configurationVersion() > configuration.version();
        final boolean newMetadata = reply.metadataVersion() > metadata.version();
        final byte[] nextConfiguration =
                newConfiguration ? Delta.apply(configurationBytes, reply.configuration()) : configurationBytes;
        final byte[] nextMetadata = newMetadata ? Delta.apply(metadataBytes, reply.metadata()) : metadataBytes;
        if (newConfiguration) {
            // Decodes the packed form rather than the operator's document, which the control plane has already parsed
            // and checked: parsing it again would delay the first lease of a gateway on a small machine by seconds
            configuration = PackedConfiguration.decode(nextConfiguration);
            configurationBytes = nextConfiguration;
        }
        if (newMetadata) {
            metadata = ClusterMetadata.load(nextMetadata);
            metadataBytes = nextMetadata;
            updateControllers();
        }
        return newConfiguration || newMetadata;
    }
}
