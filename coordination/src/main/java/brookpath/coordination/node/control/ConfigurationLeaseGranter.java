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
 * Tracks the processes that poll this control leader: the version of each, the end of its lease, and its last poll. A
 * poll stays pending until there is an update; the reply grants a lease on the configuration that it carries or
 * confirms. Soft state of the leader; not thread-safe.
 */
public final class ConfigurationLeaseGranter {
    private static final long NOT_LEADING = -1;
    private static final long NOT_PENDING = -1;

    private static final class Poller {
        ConfigurationPoll last;
        /** The node that its replies are sent to: itself, or the controller that forwards its polls. */
        int replyTo;

        long pendingSince = NOT_PENDING;
        long leaseEnds = Long.MIN_VALUE;
        long heardAt;
        /** Whether the fleet clock has been sent to it. */
        boolean clockSent;
        /** Since when it has polled without interruption. */
        long pollingSince = -1;

        boolean hasRole(final int role) {
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
    /** The configurations and the cluster metadata, as full versions or as updates since an earlier one. */
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

    /** Starts granting leases as the acting control leader; does nothing if it is one already. */
    public void onLeading(final long now) {
        if (leadingSince < 0) {
            leadingSince = now;
        }
    }

    /** Whether this process was the acting control leader at the last event. */
    public boolean isLeading() {
        return leadingSince >= 0;
    }

    /** When this process became the acting control leader, in monotonic milliseconds; negative where it is not. */
    public long leadingSince() {
        return leadingSince;
    }

    /** When an unknown process polled last, in monotonic milliseconds. */
    public long newProcessSeenAt() {
        return newProcessSeenAt;
    }

    /** Discards all state when the leadership ends; a successor rebuilds its own. */
    public void clear() {
        leadingSince = NOT_LEADING;
        pollers.clear();
        configurationUpdates.clear();
        metadataUpdates.clear();
    }

    // ---- polls

    /** Handles a poll: replies at once, or later when there is an update. */
    public void onPoll(final int from, final ConfigurationPoll poll, final long now) {
        if (!pollers.containsKey(poll.node())) {
            newProcessSeenAt = now;
        }
        final Poller p = pollers.computeIfAbsent(poll.node(), k -> new Poller());
        p.replyTo = from;
        p.last = poll;
        if (p.pollingSince < 0 || now - p.heardAt > timing.configurationLease()) {
            p.pollingSince = now;
        }
        p.heardAt = now;
        p.pendingSince = now;
        reply(p, now);
    }

    /**
     * Replies to pending polls that have an update or have waited long enough, and removes processes that are
     * considered lost.
     */
    public void replyToPendingPolls(final long now) {
        pollers.forEach((node, p) -> {
            if (p.pendingSince >= 0) {
                reply(p, now);
            }
        });
        // A lost process whose lease has expired serves nothing, so that no change needs to wait for it
        pollers.values()
                .removeIf(p ->
                        p.pendingSince < 0 && now > p.leaseEnds && now - p.heardAt > 2 * timing.configurationLease());
    }

    /** The node numbers of the processes that have polled. */
    public Set<Integer> nodes() {
        return pollers.keySet();
    }

    /** Replies when there is an update, or when the poll has been pending long enough. */
    private void reply(final Poller p, final long now) {
        final StoredConfiguration configuration = view.configuration();
        final ClusterMetadata metadata = view.metadata();
        final boolean hasUpdate = p.last.configurationVersion() < configuration.version()
                || p.last.metadataVersion() < metadata.version();
        recordVersions(configuration, metadata);
        // The first poll is answered at once, since a lease granted by the previous leader may be about to expire. So
        // is
        // the poll of a process that has not been sent the clock, since a storage node accepts nothing until it has it
        if (!hasUpdate
                && (p.clockSent || !clock.isKnown())
                && p.leaseEnds != Long.MIN_VALUE
                && now - p.pendingSince < timing.configurationHold()) {
            return;
        }
        p.pendingSince = NOT_PENDING;
        p.clockSent = clock.isKnown();
        p.leaseEnds = now + timing.configurationLease();
        out.send(
                p.replyTo,
                new ConfigurationReply(
                        p.last.pollId(),
                        true,
                        self,
                        group.term(),
                        configuration.version(),
                        configurationUpdates.updateFrom(p.last.configurationVersion()),
                        metadata.version(),
                        metadataUpdates.updateFrom(p.last.metadataVersion()),
                        p.last.node(),
                        clock.isKnown() ? clock.wall(now) : 0));
    }

    private void recordVersions(final StoredConfiguration configuration, final ClusterMetadata metadata) {
        if (!configurationUpdates.isNewest(configuration.version())) {
            configurationUpdates.setNewest(configuration.version(), configuration.packed());
        }
        if (!metadataUpdates.isNewest(metadata.version())) {
            metadataUpdates.setNewest(metadata.version(), metadata.save());
        }
    }

    /** Whether every process that may act on a configuration has adopted this version or lost its lease. */
    boolean allHaveAdopted(final long version, final long now) {
        for (final Poller p : pollers.values()) {
            if (!p.hasRole(ConfigurationPoll.CONTROLLER)
                    && p.last.configurationVersion() < version
                    && (now <= p.leaseEnds || p.pendingSince >= 0)) {
                return false;
            }
        }
        return true;
    }

    /** Whether this leadership has lasted long enough that every live process has polled. */
    public boolean hasHeardFromAll(final long now) {
        return leadingSince >= 0 && now - leadingSince > timing.configurationLease();
    }

    // ---- known processes

    /** The storage nodes that have polled within the duration of a lease. */
    public Set<Integer> aliveStorageNodes(final long now) {
        final Set<Integer> alive = new HashSet<>();
        pollers.forEach((node, p) -> {
            if (p.hasRole(ConfigurationPoll.STORAGE) && now - p.heardAt <= timing.configurationLease()) {
                alive.add(node);
            }
        });
        return alive;
    }

    /** The storage nodes that have polled without interruption for at least twice the recovery bound. */
    public Set<Integer> steadyStorageNodes(final long now) {
        final Set<Integer> steady = aliveStorageNodes(now);
        steady.removeIf(n -> now - pollers.get(n).pollingSince < 2 * timing.recoverMs());
        return steady;
    }

    /** When each storage node polled last, in monotonic milliseconds. */
    public Map<Integer, Long> storageNodesHeardAt() {
        final Map<Integer, Long> heardAt = new TreeMap<>();
        pollers.forEach((node, p) -> {
            if (p.hasRole(ConfigurationPoll.STORAGE)) {
                heardAt.put(node, p.heardAt);
            }
        });
        return heardAt;
    }

    /** The storage nodes that have polled. */
    public List<NodeInfo> storageNodes() {
        return nodesWithRole(ConfigurationPoll.STORAGE);
    }

    /** The controllers that have polled. */
    public List<NodeInfo> controllers() {
        return nodesWithRole(ConfigurationPoll.CONTROLLER);
    }

    private List<NodeInfo> nodesWithRole(final int role) {
        return pollers.values().stream()
                .filter(p -> p.hasRole(role))
                .map(Poller::info)
                .toList();
    }

    /** The controllers that have lately polled this leader directly and are not draining. */
    public List<NodeInfo> observers(final long now) {
        return pollers.values().stream()
                .filter(p -> p.hasRole(ConfigurationPoll.CONTROLLER) && p.replyTo == p.last.node() && !p.last.drain())
                .filter(p -> now - p.heardAt <= 2 * timing.configurationHold())
                .map(Poller::info)
                .toList();
    }

    /**
     * The gateways that accept sessions, for a draining gateway that moves its own sessions to them: their count, then
     * the node number, zone and address of each.
     */
    public byte[] openGateways(final long now) {
        final List<ConfigurationPoll> gateways = pollers.values().stream()
                .filter(p -> p.hasRole(ConfigurationPoll.GATEWAY)
                        && !p.last.drain()
                        && now - p.heardAt <= 2 * timing.configurationHold())
                .map(p -> p.last)
                .toList();
        final PackedBuffer buffer = PackedBuffer.writer().putLong(gateways.size());
        gateways.forEach(
                poll -> buffer.putLong(poll.node()).putString(poll.zone()).putString(poll.address()));
        return buffer.toByteArray();
    }

    /** Adds the zone of each process that has polled to the map, by node number. */
    public void addZones(final Map<Integer, String> zones) {
        pollers.forEach((node, p) -> zones.put(node, p.last.zone()));
    }

    /** The processes that have polled, for the status page. */
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
