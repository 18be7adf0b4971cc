package brookpath.testing.sim;

/**
 * Size of a simulated fleet and of its load.
 *
 * @param zoneDelayHalfMillis one-way delay between two zones, in half milliseconds
 */
public record FleetSize(
        int groups, int gateways, int topics, int sessions, int tenants, double perSecond, int zoneDelayHalfMillis) {
    /** The size that most tests use. */
    public static final FleetSize SMALL = new FleetSize(4, 3, 8, 16, 3, 30, 2);
    /** Fleet size of the smaller user: 18 processes, three of them controllers. */
    public static final FleetSize JADRAN = new FleetSize(16, 11, 110, 400, 8, 45, 1);

    /** Fleet size of the larger user. */
    public static final FleetSize SAJHA = new FleetSize(16, 11, 450, 400, 8, 95, 3);
}
