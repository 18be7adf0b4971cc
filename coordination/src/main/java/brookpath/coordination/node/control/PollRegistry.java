package brookpath.coordination.node.control;

import brookpath.coordination.Tempo;
import brookpath.coordination.action.Actions;
import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.message.Msg.SpecPoll;
import brookpath.coordination.message.Msg.SpecReply;
import brookpath.coordination.spec.FleetClock;
import brookpath.coordination.spec.Roster;
import brookpath.coordination.spec.Roster.NodeInfo;
import brookpath.coordination.spec.StoredSpec;
import brookpath.coordination.spec.VersionUpdates;
import brookpath.state.record.Pack;
import jakarta.json.Json;
import jakarta.json.JsonArrayBuilder;
import jakarta.json.JsonObject;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The processes that poll this control master: what each has, until when its lease runs, and when it was heard. Polls
 * are held until there is news; the answer to one grants a lease on the configuration that it brings or confirms.
 */
public final class PollRegistry implements Followers {
    private static final long NO_DUTY = -1;
    private static final long NOT_HELD = -1;

    private static final class Poller {
        SpecPoll last;
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
    private final Tempo tempo;
    private final Actions out;
    private final TreeMap<Integer, Poller> pollers = new TreeMap<>();
    /** The configurations and the cluster metadata as followers get them. */
    private final VersionUpdates specUpdates = new VersionUpdates();

    private final VersionUpdates rosterUpdates = new VersionUpdates();
    /** When each version that waits for its confirmation was first seen accepted. */
    private final TreeMap<Long, Long> acceptedAt = new TreeMap<>();
    /** Since when this process acts as the control master. */
    private long dutySince = NO_DUTY;

    private long newcomerAt;

    public PollRegistry(
            final int self,
            final GroupMachine group,
            final ControlView view,
            final FleetClock clock,
            final Tempo tempo,
            final Actions out) {
        this.self = self;
        this.group = group;
        this.view = view;
        this.clock = clock;
        this.tempo = tempo;
        this.out = out;
    }

    /** This process acts as the control master. */
    public void onDuty(final long now) {
        if (dutySince < 0) {
            dutySince = now;
        }
    }

    /** Whether it was the acting master when it was last asked. */
    public boolean isOnDuty() {
        return dutySince >= 0;
    }

    /** Since when this process acts as the control master, negative where it does not. */
    public long dutySince() {
        return dutySince;
    }

    /** When a process polled that was not known. */
    public long newcomerAt() {
        return newcomerAt;
    }

    /** It is the control master no longer: a successor learns all of this anew. */
    public void clear() {
        dutySince = NO_DUTY;
        pollers.clear();
        specUpdates.clear();
        rosterUpdates.clear();
        acceptedAt.clear();
    }

    // ---- polls

    /** Takes a poll and answers it, now or when there is news. */
    public void poll(final int from, final SpecPoll m, final long now) {
        if (!pollers.containsKey(m.node())) {
            newcomerAt = now;
        }
        final Poller p = pollers.computeIfAbsent(m.node(), k -> new Poller());
        p.via = from;
        p.last = m;
        if (p.since < 0 || now - p.heardAt > tempo.specLease()) {
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
        pollers.values().removeIf(p -> p.heldSince < 0 && now > p.leaseEnds && now - p.heardAt > 2 * tempo.specLease());
    }

    /** The processes that polled. */
    public Set<Integer> nodes() {
        return pollers.keySet();
    }

    /** Answers when there is news, or when the poll has been held long enough. */
    private void answer(final Poller p, final long now) {
        final StoredSpec spec = view.configuration();
        final Roster roster = view.metadata();
        final boolean news = p.last.specVersion() < spec.version() || p.last.rosterVersion() < roster.version();
        noteVersions(spec, roster);
        // why: a lease that a predecessor granted may be about to run out, so the first poll is never held
        // why: until it knows the clock, a storage machine accepts nothing
        if (!news
                && (p.clockTold || !clock.known())
                && p.leaseEnds != Long.MIN_VALUE
                && now - p.heldSince < tempo.specHold()) {
            return;
        }
        p.heldSince = NOT_HELD;
        p.clockTold = clock.known();
        p.leaseEnds = now + tempo.specLease();
        out.send(
                p.via,
                new SpecReply(
                        p.last.pollId(),
                        true,
                        self,
                        group.epoch(),
                        spec.version(),
                        specUpdates.since(p.last.specVersion()),
                        roster.version(),
                        rosterUpdates.since(p.last.rosterVersion()),
                        p.last.node(),
                        clock.known() ? clock.wall(now) : 0));
    }

    private void noteVersions(final StoredSpec spec, final Roster roster) {
        if (!specUpdates.has(spec.version())) {
            specUpdates.newest(spec.version(), spec.lean());
        }
        if (!rosterUpdates.has(roster.version())) {
            rosterUpdates.newest(roster.version(), roster.save());
        }
    }

    // ---- confirmations

    @Override
    public boolean everywhere(final long version, final long now) {
        acceptedAt.putIfAbsent(version, now);
        // why: a predecessor may have granted leases that this master has not seen
        if (dutySince < 0 || now - dutySince <= tempo.confirmWait()) {
            return false;
        }
        if (tempo.leaseMs() > tempo.changeMs() && now - acceptedAt.get(version) >= tempo.confirmWait()) {
            // why: who has not taken it by now cannot be reached, and its lease ends no later than leaseMs from here
            return true;
        }
        for (final Poller p : pollers.values()) {
            if (!p.is(SpecPoll.CONTROLLER)
                    && p.last.specVersion() < version
                    && (now <= p.leaseEnds || p.heldSince >= 0)) {
                return false;
            }
        }
        return true;
    }

    @Override
    public void confirmed(final long version) {
        acceptedAt.headMap(version).clear();
    }

    @Override
    public boolean heardAll(final long now) {
        return dutySince >= 0 && now - dutySince > tempo.specLease();
    }

    // ---- who is there

    @Override
    public Set<Integer> aliveStorages(final long now) {
        final Set<Integer> alive = new HashSet<>();
        pollers.forEach((node, p) -> {
            if (p.is(SpecPoll.STORAGE) && now - p.heardAt <= tempo.specLease()) {
                alive.add(node);
            }
        });
        return alive;
    }

    /** Storage machines that have been heard for several times the recovery bound without a break. */
    public Set<Integer> steadyStorages(final long now) {
        final Set<Integer> steady = aliveStorages(now);
        steady.removeIf(n -> now - pollers.get(n).since < 2 * tempo.recoverMs());
        return steady;
    }

    /** When each storage machine was heard last. */
    public Map<Integer, Long> storagesHeardAt() {
        final Map<Integer, Long> heardAt = new TreeMap<>();
        pollers.forEach((node, p) -> {
            if (p.is(SpecPoll.STORAGE)) {
                heardAt.put(node, p.heardAt);
            }
        });
        return heardAt;
    }

    /** The storage machines that polled. */
    public List<NodeInfo> storages() {
        return machines(SpecPoll.STORAGE);
    }

    /** The controllers that polled. */
    public List<NodeInfo> controllers() {
        return machines(SpecPoll.CONTROLLER);
    }

    private List<NodeInfo> machines(final int role) {
        return pollers.values().stream()
                .filter(p -> p.is(role))
                .map(Poller::info)
                .toList();
    }

    /** Controllers that have lately asked this master themselves, and mean to stay. */
    public List<NodeInfo> observers(final long now) {
        return pollers.values().stream()
                .filter(p -> p.is(SpecPoll.CONTROLLER) && p.via == p.last.node() && !p.last.drain())
                .filter(p -> now - p.heardAt <= 2 * tempo.specHold())
                .map(Poller::info)
                .toList();
    }

    /**
     * The gateways that take sessions, for one that sends its own on: how many, then node, zone and address of each.
     */
    public byte[] openGateways(final long now) {
        final List<SpecPoll> gateways = pollers.values().stream()
                .filter(p -> p.is(SpecPoll.FRONT) && !p.last.drain() && now - p.heardAt <= 2 * tempo.specHold())
                .map(p -> p.last)
                .toList();
        final Pack pack = Pack.writer().num(gateways.size());
        gateways.forEach(m -> pack.num(m.node()).str(m.zone()).str(m.address()));
        return pack.done();
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
                .add("specVersion", p.last.specVersion())
                .add("rosterVersion", p.last.rosterVersion())
                .add("draining", p.last.drain())
                .add("leaseLeftMs", Math.max(0, p.leaseEnds - now))
                .add("heardMsAgo", now - p.heardAt)
                .build();
    }

    private static String roleName(final int role) {
        return switch (role) {
            case SpecPoll.STORAGE -> "storage";
            case SpecPoll.CONTROLLER -> "bailiff";
            default -> "front";
        };
    }
}
