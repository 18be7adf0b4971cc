package brookpath.coordination.message;

/**
 * The response to a caller's or operator's request. Immutable.
 *
 * @param status the code of a {@link ResponseStatus}, or one that a controller of a newer version has sent
 * @param retryAfterMs when the request may be sent again, in milliseconds from now; 0 says nothing about that
 * @param code a refusal's kind in one word, as in the JSON; empty elsewhere
 * @param expiry until when it may be given, and what is said after that; null where it stays true
 */
public record Response(int status, int retryAfterMs, String json, String code, Expiry expiry) {
    /**
     * The end of a response's validity.
     *
     * @param at the first millisecond, by the process's monotonic clock, at which it is no longer valid
     */
    public record Expiry(long at, Response instead) {}

    public Response(final int status, final int retryAfterMs, final String json, final String code) {
        this(status, retryAfterMs, json, code, null);
    }

    public Response(final ResponseStatus status, final int retryAfterMs, final String json, final String code) {
        this(status.code(), retryAfterMs, json, code);
    }

    public Response(final ResponseStatus status, final int retryAfterMs, final String json) {
        this(status.code(), retryAfterMs, json, "");
    }

    /** A response by its code, as it came over the wire. */
    public Response(final int status, final int retryAfterMs, final String json) {
        this(status, retryAfterMs, json, "");
    }

    /** Whether this is the outcome. */
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

    /** What is to be said at this time of the process's monotonic clock: this, or what takes its place. */
    public Response at(final long now) {
        return expiry != null && now >= expiry.at ? expiry.instead : this;
    }
}
