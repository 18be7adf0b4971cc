package brookpath.coordination.route;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.message.Response;
import brookpath.coordination.message.ResponseStatus;

/**
 * The destination of a request, or its refusal, with the reason.
 *
 * @param refusal null where the request is admitted
 * @param tenant the tenant that the key belongs to; empty where no key was given
 * @param group the topic's group; -1 with a refusal
 * @param node the node that the request is sent to; 0 while it is undecided
 * @param because the reason for the decision in a sentence, for operators
 */
public record Route(Response refusal, String tenant, int group, int node, String because) {
    private static final int NO_GROUP = -1;

    static Route refused(final ResponseStatus status, final int retryAfterMs, final String code, final String because) {
        final Response refusal = Refusals.refused(status, retryAfterMs, code, because);
        return new Route(refusal, "", NO_GROUP, 0, because);
    }

    static Route unavailable(final TimingBounds timing, final String code, final String because) {
        return refused(ResponseStatus.UNAVAILABLE, timing.retryAfterMs(), code, because);
    }

    /** Whether the request is refused. */
    public boolean isRefused() {
        return refusal != null;
    }
}
