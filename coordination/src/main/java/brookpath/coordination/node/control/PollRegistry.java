package brookpath.coordination.node.control;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.action.Actions;
import brookpath.coordination.configuration.ClusterMetadata;
import brookpath.coordination.configuration.ClusterMetadata.NodeInfo;
import brookpath.coordination.configuration.FleetClock;
import brookpath.coordination.configuration.StoredConfiguration;
import brookpath.coordination.configuration.VersionUpdates;
import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.message.PeerMessage.ConfigurationPoll;
import brookpath.coordination.message.PeerMessage.ConfigurationReply;
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
 * are held until there is news; the answer to one grants a lease on the configuration that it brings or confirms.
 */
public final class PollRegistry implements Followers {
    private static final long NO_DUTY = -1;
    private static final long NOT_HELD = -1;

    private static final class Poller {
        ConfigurationPoll last;
        /** Whom its replies go to: itself, or the controller that carries its polls. */
        int via;

        long heldSince = NOT_HELD;
        long leaseEnds = Long.MIN_VALUE;
        long heardAt;
        /** It has been told the fleet's clock. */
        boolean clockTold;
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
    /** When each version that waits for its confirmation was first seen committed. */
    private final TreeMap<Long, Long> committedAt = new TreeMap<>();
    /** Since when this process acts as the control leader. */
    private long dutySince = NO_DUTY;

    private long newcomerAt;

    public PollRegistry(
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
    public void onDuty(final long now) {
        if (dutySince < 0) {
            dutySince = now;
        }
    }

    /** Whether it was the acting leader when it was last asked. */
    public boolean isOnDuty() {
        return dutySince >= 0;
    }

    /** Since when this process acts as the control leader, negative where it does not. */
    public long dutySince() {
        return dutySince;
    }

    /** When a process polled that was not known. */
    public long newcomerAt() {
        return newcomerAt;
    }

    /** It is the control leader no longer: a successor learns all of this anew. */
    public void clear() {
        dutySince = NO_DUTY;
        pollers.clear();
        configurationUpdates.clear();
        metadataUpdates.clear();
        committedAt.clear();
    }

    // ---- polls

    /** Takes a poll and answers it, now or when there is news. */
    public void poll(final int from, final ConfigurationPoll m, final long now) {
        if (!pollers.containsKey(m.node())) {
            newcomerAt = now;
        }
        final Poller p = pollers.computeIfAbsent(m.node(), k -> new Poller());
        p.via = from;
        p.last = m;
        if (p.since < 0 || now - p.heardAt > timing.configurationLease()) {
            p.since = now;
        }
        p.heardAt = now;
        p.heldSince = now;
        answer(p, now);
    }

    /** Answers held polls that have waited long enough or have news, and forgets processes that are gone. */
    public void answerHeld(final long now) {
        pollers.forEach((node, p) -> {
            if (p.heldSince >= 0) {
                answer(p, now);
            }
        });
        // why: a process that is gone and whose lease has run out serves nothing, so nobody needs to wait for it
        pollers.values()
                .removeIf(
                        p -> p.heldSince < 0 && now > p.leaseEnds && now - p.heardAt > 2 * timing.configurationLease());
    }

    /** The processes that polled. */
    public Set<Integer> nodes() {
        return pollers.keySet();
    }

    /** Answers when there is news, or when the poll has been held long enough. */
    private void answer(final Poller p, final long now) {
        final StoredConfiguration configuration = view.configuration();
        final ClusterMetadata metadata = view.metadata();
        final boolean news = p.last.configurationVersion() < configuration.version()
                || p.last.metadataVersion() < metadata.version();
        noteVersions(configuration, metadata);
        // why: a lease that a predecessor granted may be about to run out, so the first poll is never held
        // why: until it knows the clock, a storage machine accepts nothing
        if (!news
                && (p.clockTold || !clock.known())
                && p.leaseEnds != Long.MIN_VALUE
                && now - p.heldSince < timing.configurationHold()) {
            return;
        }
        p.heldSince = NOT_HELD;
        p.clockTold = clock.known();
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

    // ---- confirmations

    @Override
    public boolean everywhere(final long version, final long now) {
        committedAt.putIfAbsent(version, now);
        // why: a predecessor may have granted leases that this leader has not seen
        if (dutySince < 0 || now - dutySince <= timing.confirmWait()) {
            return false;
        }
        if (timing.leaseMs() > timing.changeMs() && now - committedAt.get(version) >= timing.confirmWait()) {
            // why: who has not taken it by now cannot be reached, and its lease ends no later than leaseMs from here
            return true;
        }
        for (final Poller p : pollers.values()) {
            if (!p.is(ConfigurationPoll.CONTROLLER)
                    && p.last.configurationVersion() < version
                    && (now <= p.leaseEnds || p.heldSince >= 0)) {
                return false;
            }
        }
        return true;
    }

    @Override
    public void confirmed(final long version) {
        committedAt.headMap(version).clear();
    }

    @Override
    public boolean heardAll(final long now) {
        return dutySince >= 0 && now - dutySince > timing.configurationLease();
    }

    // ---- who is there

    @Override
    public Set<Integer> aliveStorages(final long now) {
        final Set<Integer> alive = new HashSet<>();
        pollers.forEach((node, p) -> {
            if (p.is(ConfigurationPoll.STORAGE) && now - p.heardAt <= timing.configurationLease()) {
                alive.add(node);
            }
        });
        return alive;
    }

    /** Storage machines that have been heard for several times the recovery bound without a break. */
    public Set<Integer> steadyStorages(final long now) {
        final Set<Integer> steady = aliveStorages(now);
        steady.removeIf(n -> now - pollers.get(n).since < 2 * timing.recoverMs());
        return steady;
    }

    /** When each storage machine was heard last. */
    public Map<Integer, Long> storagesHeardAt() {
        final Map<Integer, Long> heardAt = new TreeMap<>();
        pollers.forEach((node, p) -> {
            if (p.is(ConfigurationPoll.STORAGE)) {
                heardAt.put(node, p.heardAt);
            }
        });
        return heardAt;
    }

    /** The storage machines that polled. */
    public List<NodeInfo> storages() {
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
        final PackedBuffer buffer = PackedBuffer.writer().putLong(gateways.size());
        gateways.forEach(m -> buffer.putLong(m.node()).putString(m.zone()).putString(m.address()));
        return buffer.toByteArray();
    }

    /** The zone of each process that polled, added to those given. */
    public void addZones(final Map<Integer, String> zones) {
        pollers.forEach((node, p) -> zones.put(node, p.last.zone()));
    }

    /** What operators are told of the processes that polled. */
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
