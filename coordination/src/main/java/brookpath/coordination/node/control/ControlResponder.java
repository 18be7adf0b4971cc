package brookpath.coordination.node.control;

import static java.nio.charset.StandardCharsets.UTF_8;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.action.Actions;
import brookpath.coordination.configuration.Finding;
import brookpath.coordination.message.ControlRequestKind;
import brookpath.coordination.message.PeerMessage.ControlReply;
import brookpath.coordination.message.Response;
import brookpath.coordination.message.ResponseStatus;
import java.util.List;

/** Sends responses to the origin of a request: a caller of this process, or another process. */
public final class ControlResponder {
    private final int self;
    private final TimingBounds timing;
    private final Actions out;

    /** @param self the node number of this process */
    public ControlResponder(final int self, final TimingBounds timing, final Actions out) {
        this.self = self;
        this.timing = timing;
        this.out = out;
    }

    /** Responds to a request of this process's callers or of another process; request ID 0 means no response. */
    public void respond(final int from, final long requestId, final Response response) {
        if (from == self) {
            out.respond(requestId, response);
        } else if (requestId != 0) {
            final byte[] body = response.json().getBytes(UTF_8);
            out.send(from, new ControlReply(requestId, response.status(), response.retryAfterMs(), body));
        }
    }

    /** Like {@link #respond}, but after the deadline only the success of a write is sent, since nothing can undo it. */
    public void respondBefore(
            final long deadline,
            final ControlRequestKind kind,
            final int from,
            final long requestId,
            final Response response) {
        final boolean remainsValid = kind.isWrite() && response.isSuccess();
        respond(
                from,
                requestId,
                remainsValid
                        ? response
                        : response.until(deadline, outcomeUnknown(kind, "the response was delayed past its deadline")));
    }

    /** Forwards the control leader's response; to a caller of this process as {@link #respondBefore} does. */
    public void relay(final long deadline, final ControlRequestKind kind, final int from, final ControlReply reply) {
        if (from == self) {
            final String json = new String(reply.body(), UTF_8);
            respondBefore(
                    deadline, kind, from, reply.requestId(), new Response(reply.status(), reply.retryAfterMs(), json));
        } else {
            out.send(from, reply);
        }
    }

    /** A refusal of a request that was certainly not executed and may be retried. */
    public Response unavailable(final String why) {
        return new Response(
                ResponseStatus.UNAVAILABLE, timing.retryAfterMs(), "{\"outcome\":\"refused\",\"why\":\"" + why + "\"}");
    }

    /** The response to a request whose outcome is unknown: unsettled for a write, a refusal for a read. */
    public Response outcomeUnknown(final ControlRequestKind kind, final String why) {
        if (!kind.isWrite()) {
            return unavailable(why);
        }
        return new Response(
                ResponseStatus.UNSETTLED,
                timing.retryAfterMs(),
                "{\"outcome\":\"unsettled\",\"why\":\"" + why + "; retry the identical request\"}");
    }

    /** A refusal with the findings on an invalid request, which it is no use to retry. */
    public static Response refused(final ResponseStatus status, final List<Finding> findings) {
        return new Response(status, 0, "{\"outcome\":\"refused\",\"findings\":" + Finding.toJson(findings) + "}");
    }
}
