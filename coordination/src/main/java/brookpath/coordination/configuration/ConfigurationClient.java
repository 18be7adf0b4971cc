package brookpath.coordination.configuration;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.action.Actions;
import brookpath.coordination.message.PeerMessage.ConfigurationPoll;
import brookpath.coordination.message.PeerMessage.ConfigurationReply;
import brookpath.coordination.metadata.ClusterMetadata;
import brookpath.coordination.metadata.ClusterMetadata.NodeInfo;
import brookpath.coordination.node.Node.Time;
import brookpath.state.record.Delta;
import java.util.ArrayList;
import java.util.List;

/** A data-plane process's side of the configuration: polls with the version that it has, and holds the lease on it. */
public final class ConfigurationClient {
    /** Told in place of a version, so that the answer brings the whole. */
    private static final int NOTHING_KNOWN = -1;

    private static final int NO_LEADER = 0;

    private final NodeInfo info;
    private final int self;
    private final int role;
    /** Whom it may ask: those that the settings name, and those that the cluster metadata has named since. */
    private List<Integer> controllers;

    private final TimingBounds timing;
    private final Actions out;

    private Configuration configuration = Configuration.NONE;
    private ClusterMetadata metadata = ClusterMetadata.NONE;
    /** Both as they came, for the differences that follow. */
    private byte[] configurationBytes = VersionUpdates.NO_NEWS;

    private byte[] metadataBytes = VersionUpdates.NO_NEWS;
    private boolean known;
    /** A difference did not fit, so the next answer is to bring both whole. */
    private boolean wantsWhole;

    private long leaseUntil = Long.MIN_VALUE;
    private long pollId;
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
     * @param info this process as others see it; peers reach a storage machine or a controller at its address, callers
     *     a gateway
     * @param firstId where the polls' IDs begin, another place in each life of the process: a reply that a third node
     *     carries may outlive the one that asked, and must grant no lease to its successor
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

    /** The controller that is polled, 0 for none. */
    public int controlLeader() {
        return target;
    }

    /** The control leader that has answered lately, 0 for none. */
    public int leaderHeard(final long now) {
        return leased(now) && !relay ? target : 0;
    }

    /** Tells the control leader with the next poll whether this process drains. */
    public void drain(final boolean on) {
        drain = on;
    }

    /** Whether this process drains. */
    public boolean draining() {
        return drain;
    }

    /** Nothing is served before a first answer that a majority backs, nor after the lease on it has run out. */
    public boolean leased(final long now) {
        return known && now < leaseUntil;
    }

    /** The end of the lease by this process's monotonic clock, in milliseconds. */
    public long leaseUntil() {
        return known ? leaseUntil : Long.MIN_VALUE;
    }

    /** Nothing is stamped by this machine's own clock, which may be the wrong one. */
    public boolean clockKnown() {
        return clockAhead != Long.MIN_VALUE;
    }

    /** The fleet's clock as the control leader sent it. */
    public long wall(final Time time) {
        return clockKnown() ? time.mono() + clockAhead : 0;
    }

    /** Sends the next poll where it is due, and gives up one that is not answered in time. */
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
     * The one that was asked cannot be reached. Another may reach it, so it is asked to carry the poll, for a while.
     */
    private void unreached(final long now) {
        // Before a first answer nothing says that the one is unreachable rather than not up yet
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

    /** Further controllers that may be asked, from a log that may be old. */
    public void suggest(final List<ClusterMetadata.NodeInfo> more) {
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

    /** The reply that was forwarded brought the leader's address, so that the next poll can go there. */
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
        // Machines of the first days may be gone for good
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
        out.send(
                target,
                new ConfigurationPoll(
                        ++pollId,
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
     * The poll never left, or the session that it went over broke: waiting for its deadline would only waste the lease.
     */
    public void unsent(final int to, final long now) {
        if (polling && to == target) {
            polling = false;
            unreached(now);
            nextAt = now + timing.tick();
        }
    }

    /** True when the configuration or the cluster metadata is a newer one. */
    public boolean onReply(final ConfigurationReply reply, final Time time) {
        if (!polling || reply.pollId() != pollId) {
            return false;
        }
        polling = false;
        if (!reply.leader()) {
            followLeaderHint(reply.leaderHint(), time.mono());
            return false;
        }
        if (reply.configurationVersion() < configuration.version()) {
            // A process that has shown a version never goes back, whoever says so
            out.error("spec went back from " + configuration.version() + " to " + reply.configurationVersion());
            return false;
        }
        final boolean changed;
        try {
            changed = take(reply) || !known;
        } catch (final Delta.MismatchException ex) {
            // No lease without the configuration that it is for; the whole fits whatever there is
            out.note("asks for the whole configuration: " + ex.getMessage());
            wantsWhole = true;
            poll(time);
            return false;
        }
        wantsWhole = false;
        known = true;
        askDirectly(reply.leaderHint());
        renewLease(reply, time.mono());
        poll(time);
        return changed;
    }

    /** The one that was asked does not lead: asks whom it names, else the next controller. */
    private void followLeaderHint(final int hint, final long now) {
        final boolean usable = !relay && hint != NO_LEADER && hint != target;
        if (usable && controllers.contains(hint)) {
            target = hint;
            nextAt = now;
        } else if (usable) {
            // A leader that no settings named is known by number only; whoever names it forwards the poll, and the
            // cluster metadata tells the rest
            relay = true;
            leaderUnknown = true;
            relayUntil = now + timing.configurationHold();
            nextAt = now;
        } else {
            nextSeed();
            nextAt = now + timing.tick();
        }
    }

    private void renewLease(final ConfigurationReply reply, final long now) {
        // The lease runs from when the poll was sent, which is before it was granted
        leaseUntil = Math.max(leaseUntil, sentAt + timing.configurationLease());
        if (reply.wall() != 0) {
            clockAhead = reply.wall() - now;
        }
    }

    /** Takes what is newer in the reply; nothing of it where one part does not fit. True where there was something. */
    private boolean take(final ConfigurationReply m) throws Delta.MismatchException {
        final boolean newConfiguration = m.configurationVersion() > configuration.version();
        final boolean newMetadata = m.metadataVersion() > metadata.version();
        final byte[] nextConfiguration =
                newConfiguration ? Delta.apply(configurationBytes, m.configuration()) : configurationBytes;
        final byte[] nextMetadata = newMetadata ? Delta.apply(metadataBytes, m.metadata()) : metadataBytes;
        if (newConfiguration) {
            configuration = ConfigurationReader.stored(nextConfiguration, m.configurationVersion());
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
