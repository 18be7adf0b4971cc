package brookpath.coordination.route;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.message.Response;
import brookpath.coordination.message.ResponseStatus;

/**
 * Where a request goes, and why; or the refusal that it gets.
 *
 * @param refusal null where the request may go on
 * @param tenant the tenant whose key was given; empty where none was
 * @param group the topic's group; -1 with a refusal
 * @param node the node that takes the request; 0 where that is left open
 * @param because the decision in a sentence, for operators
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
