package brookpath.coordination.message;

/**
 * The outcome of a request, with the code that stands for it on the wire and in HTTP. The core names outcomes by these
 * constants; codes are for the edges only.
 */
public enum ResponseStatus {
    /** Done, or the answer to a question. */
    OK(200),
    /** Accepted and committed, but not complete yet. */
    ACCEPTED(202),
    /** Cannot be parsed. */
    BAD_REQUEST(400),
    /** No key, or an unknown one. */
    UNAUTHORIZED(401),
    /** The key does not open what was asked for. */
    FORBIDDEN(403),
    /** Names something that does not exist. */
    NOT_FOUND(404),
    /** Contradicts what is committed. */
    CONFLICT(409),
    /** Asks for history that is no longer kept. */
    GONE(410),
    /** Larger than what is accepted. */
    TOO_LARGE(413),
    /** Can be parsed, but its content is invalid. */
    INVALID(422),
    /** Certainly not done; the same request may succeed later. */
    UNAVAILABLE(503),
    /** Unknown whether it was done; the same request has to be sent again, unchanged. */
    UNSETTLED(504);

    private static final int SUCCESS_CLASS = 2;
    private static final int CODES_PER_CLASS = 100;

    private final int code;

    ResponseStatus(final int code) {
        this.code = code;
    }

    /** The code on the wire and in HTTP. */
    public int code() {
        return code;
    }

    /** Whether a code, which may be one of a newer version, means that the request succeeded. */
    public static boolean isSuccess(final int code) {
        return code / CODES_PER_CLASS == SUCCESS_CLASS;
    }
}
