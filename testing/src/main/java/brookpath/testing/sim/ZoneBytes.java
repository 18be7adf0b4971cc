package brookpath.testing.sim;

import java.util.EnumSet;

/**
 * Measures the bytes that a day without faults sends between zones at the users' fleet sizes: {@code bin/zone-bytes}.
 * The day runs in virtual time, so every run gives the same figures.
 */
public final class ZoneBytes {
    private static final long LENGTH_MS = 60_000;

    private ZoneBytes() {}

    /** Prints the bytes between zones for both fleet sizes. */
    public static void main(final String[] args) {
        for (final String name : new String[] {"jadran", "sajha"}) {
            final SimulatedDay.Outcome day =
                    SimulatedDay.play(SimulatedDay.Plan.of(1, EnumSet.noneOf(SimulatedDay.Fault.class))
                            .withSize(name.equals("sajha") ? FleetSize.SAJHA : FleetSize.JADRAN)
                            .withLength(LENGTH_MS));
            final long all = day.crossZoneBytes().values().stream()
                    .mapToLong(Long::longValue)
                    .sum();
            System.out.println(name + ": " + all + " bytes between zones, " + all / day.committed()
                    + " per committed message; " + day.crossZoneBytes());
        }
    }
}
