package brookpath.coordination.node.control;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.action.Actions;
import brookpath.coordination.configuration.ConfigurationReader;
import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.group.Quorums;
import brookpath.coordination.heartbeat.HeartbeatTable;
import brookpath.coordination.message.PeerMessage.ConfigurationPoll;
import brookpath.coordination.message.PeerMessage.ControlRequest;
import brookpath.coordination.metadata.ClusterMetadata.NodeInfo;
import brookpath.coordination.metadata.FleetClock;
import brookpath.coordination.node.Node.Time;
import brookpath.coordination.node.NodeRequest;
import brookpath.coordination.node.usage.UsageReporter;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.LongSupplier;

/**
 * The duties of a controller while it leads the control group: it replies to polls and grants leases, handles requests,
 * maintains the cluster metadata and the group's membership, moves topic groups and reports usage. A controller that
 * does not lead has this object too, without state. Not thread-safe.
 */
public final class ControlLeader {
    private final int self;
    private final GroupMachine group;
    private final ControlView view;
    private final FleetClock clock = new FleetClock();
    private final ControlGroupMembership members;
    private final ConfigurationLeaseGranter leases;
    private final ChangeConfirmation confirmation;
    private final ClusterMetadataUpdater metadataUpdater;
    private final GroupMoveDriver moves;
    private final PendingRequests pending;
    private final UsageReporter usage;
    private final ControlRequestHandler requests;

    /**
     * @param info this controller as peers see it
     * @param ids supplies the IDs of usage reports, each once
     */
    public ControlLeader(
            final NodeInfo info,
            final GroupMachine group,
            final ControlView view,
            final GroupBootstrap bootstrap,
            final TimingBounds timing,
            final ControlResponder responder,
            final LongSupplier ids,
            final Actions out) {
        self = info.node();
        this.group = group;
        this.view = view;
        members = new ControlGroupMembership(self, group, timing, bootstrap.toleratedLosses());
        leases = new ConfigurationLeaseGranter(self, group, view, clock, timing, out);
        metadataUpdater = new ClusterMetadataUpdater(info, group, view, leases, bootstrap, timing);
        moves = new GroupMoveDriver(view, leases, bootstrap.replicas(), timing, out);
        pending = new PendingRequests(group, timing, responder, out);
        confirmation = new ChangeConfirmation(leases, timing);
        usage = new UsageReporter(self, group, view, clock, timing, ids, out);
        final ConfigurationReader.Limits limits = new ConfigurationReader.Limits(
                bootstrap.replicas(), Quorums.floor(bootstrap.replicas(), bootstrap.toleratedLosses()));
        requests = new ControlRequestHandler(
                self,
                group,
                view,
                new ConfigurationChangeHandler(group, view, limits, confirmation, pending, responder),
                new StorageRetirementHandler(group, view, leases, pending),
                metadataUpdater,
                moves,
                leases,
                usage,
                pending,
                responder,
                timing,
                out);
    }

    /** Records which members of the control group respond; done by every member, leader or not. */
    public void recordMemberResponsiveness(final HeartbeatTable table, final long now) {
        members.recordResponsiveness(table, now);
    }

    /**
     * Called after each event of the control group: starts or ends the duties on a change of leadership, and sends the
     * responses that have become possible.
     */
    public void afterEvent(final HeartbeatTable table, final Time time) {
        if (group.mayAct(time.mono())) {
            act(table, time);
        } else if (group.role() == GroupMachine.LEADER) {
            pending.completeReady(time);
        } else {
            stepDown();
        }
    }

    private void act(final HeartbeatTable table, final Time time) {
        final long now = time.mono();
        leases.onLeading(now);
        if (group.hasMembershipInLog()) {
            members.advance(table, leases.observers(now), controllerZones(), now, time.wall());
        }
        clock.update(self, time.wall(), now);
        leases.replyToPendingPolls(now);
        final Set<Integer> heard = new HashSet<>(leases.nodes());
        heard.add(self);
        clock.retainOnly(heard);
        pending.completeReady(time);
    }

    /** Discards the leader's soft state, and fails the pending requests. */
    private void stepDown() {
        if (leases.isLeading()) {
            leases.clear();
            confirmation.clear();
            clock.clear();
            usage.clear();
            moves.clear();
        }
        pending.failAll();
    }

    private Map<Integer, String> controllerZones() {
        final Map<Integer, String> zones = new TreeMap<>();
        view.newestMetadata().controllers().forEach(controller -> zones.put(controller.node(), controller.zone()));
        return zones;
    }

    /** Performs the periodic duties; called only for a leader that may act. */
    public void tick(final Time time) {
        if (!view.backlogged()) {
            metadataUpdater.update(time);
            moves.orderDueMoves(time.mono());
        }
        usage.totalNextWindow(
                view.metadata(), view.configuration().configuration().tenants().keySet(), time);
        usage.postTotals(time);
    }

    /** Handles a poll, and replies now or once there is an update; called only for a leader that may act. */
    public void onPoll(final int from, final ConfigurationPoll poll, final Time time) {
        clock.update(poll.node(), poll.wall(), time.mono());
        leases.onPoll(from, poll, time.mono());
        pending.completeReady(time);
    }

    /** Executes a request; one that arrives while this controller may not act is refused. */
    public void onRequest(final int from, final ControlRequest request, final Time time) {
        requests.handle(from, request, time);
    }

    /** Handles the outcome of a post of usage to the platform. */
    public void onPosted(final NodeRequest.Posted posted, final Time time) {
        usage.onPosted(posted, time);
    }

    /** Whether requests are pending. */
    public boolean hasPendingRequests() {
        return !pending.isEmpty();
    }

    /** Adds the zone of each process that polled to the map, by node number. */
    public void addZones(final Map<Integer, String> zones) {
        leases.addZones(zones);
    }
}
