package brookpath.testing.sim;

/**
 * How large a simulated fleet and its callers are.
 *
 * @param zoneDelayHalfMillis one way between two zones
 */
public record FleetSize(
        int groups, int gateways, int topics, int sessions, int tenants, double perSecond, int zoneDelayHalfMillis) {
    /** The size of most tests. */
    public static final FleetSize SMALL = new FleetSize(4, 3, 8, 16, 3, 30, 2);
    /** The users' own sizes, 18 processes with the three controllers. */
    public static final FleetSize JADRAN = new FleetSize(16, 11, 110, 400, 8, 45, 1);

    /** The larger users' own size. */
    public static final FleetSize SAJHA = new FleetSize(16, 11, 450, 400, 8, 95, 3);
}
