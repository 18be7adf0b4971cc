package brookpath.trial.sim;

/**
 * How large a simulated fleet and its callers are.
 *
 * @param halfMillis one way between two zones
 */
public record Shape(int groups, int fronts, int topics, int sessions, int tenants, double perSecond, int halfMillis) {
    public static final Shape SMALL = new Shape(4, 3, 8, 16, 3, 30, 2);
    /** The users' own sizes, 18 processes with the three controllers. */
    public static final Shape JADRAN = new Shape(16, 11, 110, 400, 8, 45, 1);

    public static final Shape SAJHA = new Shape(16, 11, 450, 400, 8, 95, 3);
}
