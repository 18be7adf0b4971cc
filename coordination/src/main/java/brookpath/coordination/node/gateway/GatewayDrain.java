package brookpath.coordination.node.gateway;

import static brookpath.coordination.message.ResponseStatus.OK;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.action.Actions;
import brookpath.coordination.configuration.ConfigurationClient;
import brookpath.coordination.message.PeerMessage.ControlReply;
import brookpath.coordination.message.PeerMessage.ControlRequest;
import brookpath.coordination.message.Response;

/**
 * Drains this gateway: new sessions are redirected to other gateways at once, and the existing ones are moved there one
 * by one. A graceful shutdown is a faster drain that responds once no session or publish is left.
 */
public final class GatewayDrain {
    /** A drain spreads the sessions' moves over the recovery bound divided by this. */
    private static final int DRAIN_DIVISOR = 2;

    private static final int SHUTDOWN_DIVISOR = 12;
    private static final long NOT_REQUESTED = 0;

    private final ConfigurationClient client;
    private final Subscriptions subscriptions;
    private final GatewayAddresses otherGateways;
    private final TimingBounds timing;
    private final Actions out;
    private long shutdownRequest = NOT_REQUESTED;

    /**
     * @param client notifies the control plane that this node drains
     * @param otherGateways gives the addresses that the sessions are moved to
     */
    public GatewayDrain(
            final ConfigurationClient client,
            final Subscriptions subscriptions,
            final GatewayAddresses otherGateways,
            final TimingBounds timing,
            final Actions out) {
        this.client = client;
        this.subscriptions = subscriptions;
        this.otherGateways = otherGateways;
        this.timing = timing;
        this.out = out;
    }

    /** Begins to drain. */
    public void start(final long now) {
        start(timing.recoverMs() / DRAIN_DIVISOR, now);
    }

    /** Begins a graceful shutdown; the response is sent once no session or publish is left here. */
    public void shutDown(final long requestId, final long now) {
        shutdownRequest = requestId;
        start(timing.recoverMs() / SHUTDOWN_DIVISOR, now);
    }

    private void start(final long spreadOverMs, final long now) {
        if (!client.draining()) {
            // a moved caller is given the address of another gateway, and only the control plane knows all gateways
            otherGateways.request(client.controlLeader(), now);
        }
        client.drain(true);
        subscriptions.scheduleMoves(spreadOverMs, now);
    }

    /** Cancels the drain: the remaining sessions stay, and new ones are accepted again. */
    public void stop() {
        client.drain(false);
        subscriptions.cancelMoves();
    }

    /**
     * Moves the sessions whose move is due, and completes a graceful shutdown.
     *
     * @param publishes the number of publishes in flight here
     */
    public void tick(final int publishes, final long now) {
        if (client.draining() && otherGateways.isReady(now)) {
            subscriptions.moveDue(otherGateways::next, now);
        }
        if (shutdownRequest != NOT_REQUESTED && subscriptions.size() == 0 && publishes == 0) {
            out.respond(shutdownRequest, new Response(OK, 0, "{}"));
            shutdownRequest = NOT_REQUESTED;
        }
    }

    /** Handles a reply of the control leader; only the reply to the pending request for the addresses counts. */
    public void received(final ControlReply reply) {
        if (!otherGateways.isPending(reply.requestId())) {
            return;
        }
        if (reply.status() == OK.code()) {
            otherGateways.received(reply.body());
        } else {
            otherGateways.requestFailed();
        }
    }

    /** A request to the control leader was not sent. */
    public void unsent(final ControlRequest request) {
        if (otherGateways.isPending(request.requestId())) {
            otherGateways.requestFailed();
        }
    }
}
