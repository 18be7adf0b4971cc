package brookpath.coordination.message;

/**
 * The outcome of a request, with its code on the wire and in HTTP. Decision logic uses the constants; the codes are for
 * encoding and decoding only.
 */
public enum ResponseStatus {
    /** Done, or the result of a read. */
    OK(200),
    /** Accepted and committed, but not complete yet. */
    ACCEPTED(202),
    /** Cannot be parsed. */
    BAD_REQUEST(400),
    /** No key, or an unknown one. */
    UNAUTHORIZED(401),
    /** The key gives no access to what was requested. */
    FORBIDDEN(403),
    /** Names something that does not exist. */
    NOT_FOUND(404),
    /** Conflicts with what is committed. */
    CONFLICT(409),
    /** Requests history that is no longer kept. */
    GONE(410),
    /** Larger than the permitted size. */
    TOO_LARGE(413),
    /** Can be parsed, but its content is invalid. */
    INVALID(422),
    /** Certainly not done; the same request may succeed later. */
    UNAVAILABLE(503),
    /** It is unknown whether it was done; the same request has to be sent again, unchanged. */
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

    /** Whether a code, which may be one that only a newer version defines, means that the request succeeded. */
    public static boolean isSuccess(final int code) {
        return code / CODES_PER_CLASS == SUCCESS_CLASS;
    }
}
