package brookpath.testing.model;

/** Thrown where an invariant is violated. */
final class Violation extends RuntimeException {
    private static final long serialVersionUID = 1;

    Violation(final String message) {
        super(message);
    }
}
