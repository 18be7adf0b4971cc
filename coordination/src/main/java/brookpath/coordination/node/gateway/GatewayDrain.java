package brookpath.coordination.node.gateway;

import static brookpath.coordination.message.ResponseStatus.OK;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.action.Actions;
import brookpath.coordination.configuration.ConfigurationClient;
import brookpath.coordination.message.PeerMessage.ControlReply;
import brookpath.coordination.message.PeerMessage.ControlRequest;
import brookpath.coordination.message.Response;
import java.util.function.LongSupplier;

/**
 * Empties this gateway: new sessions go to other gateways at once, and those that are here are moved there one after
 * the other. A graceful shutdown is a faster drain, which says when nothing is left here.
 */
public final class GatewayDrain {
    /** A drain spreads the sessions' moves over this part of the bound on recovery. */
    private static final int DRAIN_DIVISOR = 2;

    private static final int SHUTDOWN_DIVISOR = 12;
    private static final long NOT_REQUESTED = 0;

    private final ConfigurationClient client;
    private final Subscriptions subscriptions;
    private final GatewayAddresses otherGateways;
    private final TimingBounds timing;
    private final LongSupplier ids;
    private final Actions out;
    private long shutdownRequest = NOT_REQUESTED;

    /**
     * @param client tells the control plane that this node drains
     * @param otherGateways where the sessions are moved to
     * @param ids never the same twice, and rising
     */
    public GatewayDrain(
            final ConfigurationClient client,
            final Subscriptions subscriptions,
            final GatewayAddresses otherGateways,
            final TimingBounds timing,
            final LongSupplier ids,
            final Actions out) {
        this.client = client;
        this.subscriptions = subscriptions;
        this.otherGateways = otherGateways;
        this.timing = timing;
        this.ids = ids;
        this.out = out;
    }

    /** Begins to drain. */
    public void start(final long now) {
        start(timing.recoverMs() / DRAIN_DIVISOR, now);
    }

    /** Begins a graceful shutdown; the request has its response once nothing is under way here any more. */
    public void shutDown(final long requestId, final long now) {
        shutdownRequest = requestId;
        start(timing.recoverMs() / SHUTDOWN_DIVISOR, now);
    }

    private void start(final long spreadOverMs, final long now) {
        if (!client.draining()) {
            // whoever is moved is told where to, and only the control plane knows all gateways
            final long request = ids.getAsLong();
            otherGateways.await(request, now + timing.down());
            out.send(client.controlLeader(), new ControlRequest(request, "fronts", new byte[0]));
        }
        client.drain(true);
        subscriptions.scheduleMoves(spreadOverMs, now);
    }

    /** The sessions stay, and new ones are taken again. */
    public void stop() {
        client.drain(false);
        subscriptions.cancelMoves();
    }

    /**
     * Moves the sessions whose time has come, and completes a graceful shutdown.
     *
     * @param publishes how many publishes are under way here
     */
    public void tick(final int publishes, final long now) {
        if (client.draining() && otherGateways.isSettled(now)) {
            subscriptions.moveDue(otherGateways::next, now);
        }
        if (shutdownRequest != NOT_REQUESTED && subscriptions.size() == 0 && publishes == 0) {
            out.respond(shutdownRequest, new Response(OK, 0, "{}"));
            shutdownRequest = NOT_REQUESTED;
        }
    }

    /** The control leader's reply; one that does not answer the request for the other gateways is ignored. */
    public void received(final ControlReply reply) {
        if (!otherGateways.asked(reply.requestId())) {
            return;
        }
        if (reply.status() == OK.code()) {
            otherGateways.received(reply.body());
        } else {
            otherGateways.unknown();
        }
    }

    /** A request never left this process. */
    public void unsent(final ControlRequest request) {
        if (otherGateways.asked(request.requestId())) {
            otherGateways.unknown();
        }
    }
}
