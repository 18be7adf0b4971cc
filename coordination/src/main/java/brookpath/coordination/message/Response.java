package brookpath.coordination.message;

/**
 * The response to a caller's or operator's request. Immutable.
 *
 * @param status the code of a {@link ResponseStatus}, or one that a controller of a newer version has sent
 * @param retryAfterMs the delay after which the request may be sent again, in milliseconds; 0 if not given
 * @param code the kind of a refusal in one word, as in the JSON; empty for other responses
 * @param expiry when it expires, and the response that replaces it then; null if it does not expire
 */
public record Response(int status, int retryAfterMs, String json, String code, Expiry expiry) {
    /**
     * The end of a response's validity, and the response that replaces it.
     *
     * @param at the first millisecond, by the process's monotonic clock, at which it is no longer valid
     */
    public record Expiry(long at, Response instead) {}

    /** A response with this status code that does not expire. */
    public Response(final int status, final int retryAfterMs, final String json, final String code) {
        this(status, retryAfterMs, json, code, null);
    }

    /** A refusal, with its kind in one word. */
    public Response(final ResponseStatus status, final int retryAfterMs, final String json, final String code) {
        this(status.code(), retryAfterMs, json, code);
    }

    /** A response without a refusal's kind. */
    public Response(final ResponseStatus status, final int retryAfterMs, final String json) {
        this(status.code(), retryAfterMs, json, "");
    }

    /** A response that was received on the wire, by its status code. */
    public Response(final int status, final int retryAfterMs, final String json) {
        this(status, retryAfterMs, json, "");
    }

    /** Whether the response has this outcome. */
    public boolean is(final ResponseStatus outcome) {
        return status == outcome.code();
    }

    /** Whether the request succeeded. */
    public boolean isSuccess() {
        return ResponseStatus.isSuccess(status);
    }

    /** The same response, valid only before the given time of the process's monotonic clock. */
    public Response until(final long at, final Response instead) {
        return new Response(status, retryAfterMs, json, code, new Expiry(at, instead));
    }

    /**
     * The response to give at this time of the process's monotonic clock: this one, or its replacement once it has
     * expired.
     */
    public Response at(final long now) {
        return expiry != null && now >= expiry.at ? expiry.instead : this;
    }
}
