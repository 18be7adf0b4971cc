package brookpath.coordination.message;

/**
 * The response to a caller's or operator's request. Immutable.
 *
 * @param status the code of a {@link ResponseStatus}, or one that a controller of a newer version has sent
 * @param retryAfterMs when the request may be sent again, in milliseconds from now; 0 where not given
 * @param code a refusal's kind in one word, as in the JSON; empty elsewhere
 * @param expiry until when it is valid, and what replaces it then; null where it does not expire
 */
public record Response(int status, int retryAfterMs, String json, String code, Expiry expiry) {
    /**
     * The end of a response's validity, and the response that replaces it.
     *
     * @param at the first millisecond, by the process's monotonic clock, at which it is no longer valid
     */
    public record Expiry(long at, Response instead) {}

    /** A response by its status code that does not expire. */
    public Response(final int status, final int retryAfterMs, final String json, final String code) {
        this(status, retryAfterMs, json, code, null);
    }

    /** A refusal with its kind in one word. */
    public Response(final ResponseStatus status, final int retryAfterMs, final String json, final String code) {
        this(status.code(), retryAfterMs, json, code);
    }

    /** A response without a refusal's kind. */
    public Response(final ResponseStatus status, final int retryAfterMs, final String json) {
        this(status.code(), retryAfterMs, json, "");
    }

    /** A response by its code, as it came over the wire. */
    public Response(final int status, final int retryAfterMs, final String json) {
        this(status, retryAfterMs, json, "");
    }

    /** Whether the status is that of the outcome. */
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
