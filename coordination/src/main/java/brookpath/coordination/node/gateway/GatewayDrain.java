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
 * by one. A graceful shutdown is a faster drain that responds once nothing is left here.
 */
public final class GatewayDrain {
    /** The fraction of the recovery bound over which a drain spreads the sessions' moves. */
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
     * @param otherGateways where the sessions are moved to
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

    /** Begins a graceful shutdown; the request is responded to once no session or publish is left here. */
    public void shutDown(final long requestId, final long now) {
        shutdownRequest = requestId;
        start(timing.recoverMs() / SHUTDOWN_DIVISOR, now);
    }

    private void start(final long spreadOverMs, final long now) {
        if (!client.draining()) {
            // a moved caller gets the address of its next gateway, and only the control plane knows all gateways
            otherGateways.ask(client.controlLeader(), now);
        }
        client.drain(true);
        subscriptions.scheduleMoves(spreadOverMs, now);
    }

    /** Ends the drain: the sessions stay, and new ones are accepted again. */
    public void stop() {
        client.drain(false);
        subscriptions.cancelMoves();
    }

    /**
     * Moves the sessions whose time has come, and completes a graceful shutdown.
     *
     * @param publishes the number of publishes in flight here
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

    /** Handles a reply of the control leader; one to another request than that for the gateways is ignored. */
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

    /** A request was not sent. */
    public void unsent(final ControlRequest request) {
        if (otherGateways.asked(request.requestId())) {
            otherGateways.unknown();
        }
    }
}
