package brookpath.coordination.message;

/**
 * The response to a caller's or operator's job, as HTTP tells it. A retryAfterMs of 0 says nothing about coming back.
 *
 * @param code a refusal's kind in one word, as in the JSON; empty elsewhere
 */
public record Response(int status, int retryAfterMs, String json, String code) {
    public Response(final int status, final int retryAfterMs, final String json) {
        this(status, retryAfterMs, json, "");
    }
}
