package brookpath.coordination.route;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.message.Response;
import brookpath.coordination.message.ResponseStatus;
import brookpath.coordination.text.JsonText;

/** Builds the responses to requests that are refused or whose outcome is unknown. */
public final class Refusals {
    /** The code of the refusal of a session that is redirected to another gateway; the address is sent afterwards. */
    public static final String MOVED = "moved";

    private Refusals() {}

    /** Refuses a request that was certainly not executed. */
    public static Response refused(
            final ResponseStatus status, final int retryAfterMs, final String code, final String reason) {
        return response(status, retryAfterMs, "refused", code, reason);
    }

    /** Refuses a request that was certainly not executed and may be retried after the delay in the response. */
    public static Response retryLater(final TimingBounds timing, final String code, final String reason) {
        return refused(ResponseStatus.UNAVAILABLE, timing.retryAfterMs(), code, reason);
    }

    /** Whether the same request may succeed later. */
    public static boolean isTemporary(final Response refusal) {
        return refusal.is(ResponseStatus.UNAVAILABLE);
    }

    /**
     * The response to a request with any outcome but success.
     *
     * @param outcome "refused" where the request was certainly not executed
     * @param code the kind of the failure in one word
     * @param reason the reason for the failure in a sentence
     */
    public static Response response(
            final ResponseStatus status,
            final int retryAfterMs,
            final String outcome,
            final String code,
            final String reason) {
        final String json = new JsonText()
                .field("outcome", outcome)
                .field("code", code)
                .field("why", reason)
                .toString();
        return new Response(status, retryAfterMs, json, code);
    }
}
