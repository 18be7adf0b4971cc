package brookpath.coordination.message;

/** The response to a caller's or operator's job, as HTTP tells it. A retryAfterMs of 0 says nothing about coming back. */
public record Response(int status, int retryAfterMs, String json) {
}
