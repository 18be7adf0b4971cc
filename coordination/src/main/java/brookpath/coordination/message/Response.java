package brookpath.coordination.message;

/**
 * The response to a caller's or operator's request, as HTTP tells it. A retryAfterMs of 0 says nothing about coming
 * back.
 *
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

    public Response(final int status, final int retryAfterMs, final String json) {
        this(status, retryAfterMs, json, "");
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
