package brookpath.testing.model;

/** A broken invariant. */
final class Violation extends RuntimeException {
    private static final long serialVersionUID = 1;

    Violation(final String message) {
        super(message);
    }
}
