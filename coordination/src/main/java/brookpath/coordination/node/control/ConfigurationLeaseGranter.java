package brookpath.coordination.node.control;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.action.Actions;
import brookpath.coordination.configuration.StoredConfiguration;
import brookpath.coordination.configuration.VersionUpdates;
import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.message.PeerMessage.ConfigurationPoll;
import brookpath.coordination.message.PeerMessage.ConfigurationReply;
import brookpath.coordination.metadata.ClusterMetadata;
import brookpath.coordination.metadata.ClusterMetadata.NodeInfo;
import brookpath.coordination.metadata.FleetClock;
import brookpath.state.record.PackedBuffer;
import jakarta.json.Json;
import jakarta.json.JsonArrayBuilder;
import jakarta.json.JsonObject;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The processes that poll this control leader: what each has, until when its lease runs, and when it was heard. Polls
 * stay pending until there is an update; the answer to one grants a lease on the configuration that it brings or
 * confirms.
 */
public final class ConfigurationLeaseGranter {
    private static final long NOT_LEADING = -1;
    private static final long NOT_PENDING = -1;

    private static final class Poller {
        ConfigurationPoll last;
        /** Whom its replies go to: itself, or the controller that forwards its polls. */
        int via;

        long pendingSince = NOT_PENDING;
        long leaseEnds = Long.MIN_VALUE;
        long heardAt;
        /** Whether the fleet's clock was sent to it. */
        boolean clockSent;
        /** Since when it has been heard without a break. */
        long since = -1;

        boolean is(final int role) {
            return last.role() == role;
        }

        NodeInfo info() {
            return new NodeInfo(last.node(), last.zone(), last.address(), last.name(), last.machine());
        }
    }

    private final int self;
    private final GroupMachine group;
    private final ControlView view;
    private final FleetClock clock;
    private final TimingBounds timing;
    private final Actions out;
    private final TreeMap<Integer, Poller> pollers = new TreeMap<>();
    /** The configurations and the cluster metadata as followers get them. */
    private final VersionUpdates configurationUpdates = new VersionUpdates();

    private final VersionUpdates metadataUpdates = new VersionUpdates();
    /** Since when this process acts as the control leader. */
    private long leadingSince = NOT_LEADING;

    private long newProcessSeenAt;

    public ConfigurationLeaseGranter(
            final int self,
            final GroupMachine group,
            final ControlView view,
            final FleetClock clock,
            final TimingBounds timing,
            final Actions out) {
        this.self = self;
        this.group = group;
        this.view = view;
        this.clock = clock;
        this.timing = timing;
        this.out = out;
    }

    /** This process acts as the control leader. */
    public void onLeading(final long now) {
        if (leadingSince < 0) {
            leadingSince = now;
        }
    }

    /** Whether it was the acting leader when it was last asked. */
    public boolean isLeading() {
        return leadingSince >= 0;
    }

    /** Since when this process acts as the control leader, negative where it does not. */
    public long leadingSince() {
        return leadingSince;
    }

    /** When a process polled that was not known. */
    public long newProcessSeenAt() {
        return newProcessSeenAt;
    }

    /** It is the control leader no longer: a successor learns all of this anew. */
    public void clear() {
        leadingSince = NOT_LEADING;
        pollers.clear();
        configurationUpdates.clear();
        metadataUpdates.clear();
    }

    // ---- polls

    /** Takes a poll and answers it, now or once there is an update. */
    public void onPoll(final int from, final ConfigurationPoll poll, final long now) {
        if (!pollers.containsKey(poll.node())) {
            newProcessSeenAt = now;
        }
        final Poller p = pollers.computeIfAbsent(poll.node(), k -> new Poller());
        p.via = from;
        p.last = poll;
        if (p.since < 0 || now - p.heardAt > timing.configurationLease()) {
            p.since = now;
        }
        p.heardAt = now;
        p.pendingSince = now;
        answer(p, now);
    }

    /** Answers pending polls that have waited long enough or have an update, and forgets processes that are gone. */
    public void answerPending(final long now) {
        pollers.forEach((node, p) -> {
            if (p.pendingSince >= 0) {
                answer(p, now);
            }
        });
        // A process that is gone and whose lease has run out serves nothing, so nobody needs to wait for it
        pollers.values()
                .removeIf(p ->
                        p.pendingSince < 0 && now > p.leaseEnds && now - p.heardAt > 2 * timing.configurationLease());
    }

    /** The processes that polled. */
    public Set<Integer> nodes() {
        return pollers.keySet();
    }

    /** Answers when there is an update, or when the poll has been pending long enough. */
    private void answer(final Poller p, final long now) {
        final StoredConfiguration configuration = view.configuration();
        final ClusterMetadata metadata = view.metadata();
        final boolean hasUpdate = p.last.configurationVersion() < configuration.version()
                || p.last.metadataVersion() < metadata.version();
        noteVersions(configuration, metadata);
        // A lease that a predecessor granted may be about to run out, so the first poll is never held
        // Until it knows the clock, a storage machine accepts nothing
        if (!hasUpdate
                && (p.clockSent || !clock.known())
                && p.leaseEnds != Long.MIN_VALUE
                && now - p.pendingSince < timing.configurationHold()) {
            return;
        }
        p.pendingSince = NOT_PENDING;
        p.clockSent = clock.known();
        p.leaseEnds = now + timing.configurationLease();
        out.send(
                p.via,
                new ConfigurationReply(
                        p.last.pollId(),
                        true,
                        self,
                        group.term(),
                        configuration.version(),
                        configurationUpdates.since(p.last.configurationVersion()),
                        metadata.version(),
                        metadataUpdates.since(p.last.metadataVersion()),
                        p.last.node(),
                        clock.known() ? clock.wall(now) : 0));
    }

    private void noteVersions(final StoredConfiguration configuration, final ClusterMetadata metadata) {
        if (!configurationUpdates.has(configuration.version())) {
            configurationUpdates.newest(configuration.version(), configuration.lean());
        }
        if (!metadataUpdates.has(metadata.version())) {
            metadataUpdates.newest(metadata.version(), metadata.save());
        }
    }

    /** Whether every process that may act on a configuration has this version, or its lease has run out. */
    boolean allHave(final long version, final long now) {
        for (final Poller p : pollers.values()) {
            if (!p.is(ConfigurationPoll.CONTROLLER)
                    && p.last.configurationVersion() < version
                    && (now <= p.leaseEnds || p.pendingSince >= 0)) {
                return false;
            }
        }
        return true;
    }

    /** Whether this leadership has lasted for so long that every live process has been heard. */
    public boolean hasHeardAll(final long now) {
        return leadingSince >= 0 && now - leadingSince > timing.configurationLease();
    }

    // ---- who is there

    /** The storage nodes heard within the lease. */
    public Set<Integer> aliveStorageNodes(final long now) {
        final Set<Integer> alive = new HashSet<>();
        pollers.forEach((node, p) -> {
            if (p.is(ConfigurationPoll.STORAGE) && now - p.heardAt <= timing.configurationLease()) {
                alive.add(node);
            }
        });
        return alive;
    }

    /** Storage machines that have been heard for several times the recovery bound without a break. */
    public Set<Integer> steadyStorageNodes(final long now) {
        final Set<Integer> steady = aliveStorageNodes(now);
        steady.removeIf(n -> now - pollers.get(n).since < 2 * timing.recoverMs());
        return steady;
    }

    /** When each storage machine was heard last. */
    public Map<Integer, Long> storageNodesHeardAt() {
        final Map<Integer, Long> heardAt = new TreeMap<>();
        pollers.forEach((node, p) -> {
            if (p.is(ConfigurationPoll.STORAGE)) {
                heardAt.put(node, p.heardAt);
            }
        });
        return heardAt;
    }

    /** The storage machines that polled. */
    public List<NodeInfo> storageNodes() {
        return machines(ConfigurationPoll.STORAGE);
    }

    /** The controllers that polled. */
    public List<NodeInfo> controllers() {
        return machines(ConfigurationPoll.CONTROLLER);
    }

    private List<NodeInfo> machines(final int role) {
        return pollers.values().stream()
                .filter(p -> p.is(role))
                .map(Poller::info)
                .toList();
    }

    /** Controllers that have lately asked this leader themselves, and mean to stay. */
    public List<NodeInfo> observers(final long now) {
        return pollers.values().stream()
                .filter(p -> p.is(ConfigurationPoll.CONTROLLER) && p.via == p.last.node() && !p.last.drain())
                .filter(p -> now - p.heardAt <= 2 * timing.configurationHold())
                .map(Poller::info)
                .toList();
    }

    /**
     * The gateways that take sessions, for one that sends its own on: how many, then node, zone and address of each.
     */
    public byte[] openGateways(final long now) {
        final List<ConfigurationPoll> gateways = pollers.values().stream()
                .filter(p -> p.is(ConfigurationPoll.GATEWAY)
                        && !p.last.drain()
                        && now - p.heardAt <= 2 * timing.configurationHold())
                .map(p -> p.last)
                .toList();
        final PackedBuffer buffer = PackedBuffer.writer().num(gateways.size());
        gateways.forEach(poll -> buffer.num(poll.node()).str(poll.zone()).str(poll.address()));
        return buffer.done();
    }

    /** The zone of each process that polled, added to those given. */
    public void addZones(final Map<Integer, String> zones) {
        pollers.forEach((node, p) -> zones.put(node, p.last.zone()));
    }

    /** What operators see of the processes that polled. */
    public JsonArrayBuilder nodesJson(final long now) {
        final JsonArrayBuilder nodes = Json.createArrayBuilder();
        pollers.forEach((node, p) -> nodes.add(nodeJson(node, p, now)));
        return nodes;
    }

    private static JsonObject nodeJson(final int node, final Poller p, final long now) {
        return Json.createObjectBuilder()
                .add("node", node)
                .add("role", roleName(p.last.role()))
                .add("zone", p.last.zone())
                .add("specVersion", p.last.configurationVersion())
                .add("rosterVersion", p.last.metadataVersion())
                .add("draining", p.last.drain())
                .add("leaseLeftMs", Math.max(0, p.leaseEnds - now))
                .add("heardMsAgo", now - p.heardAt)
                .build();
    }

    private static String roleName(final int role) {
        return switch (role) {
            case ConfigurationPoll.STORAGE -> "storage";
            case ConfigurationPoll.CONTROLLER -> "bailiff";
            default -> "front";
        };
    }
}
