package brookpath.testing.sim;

import java.util.EnumSet;

/**
 * Measures what a calm day at the users' sizes sends between zones: {@code bin/zone-bytes}. Virtual time, so the same
 * figures every time.
 */
public final class ZoneBytes {
    private static final long LENGTH = 60_000;

    private ZoneBytes() {}

    /** Prints the bytes between zones for both profiles. */
    public static void main(final String[] args) {
        for (final String name : new String[] {"jadran", "sajha"}) {
            final SimulatedDay.Outcome day =
                    SimulatedDay.play(SimulatedDay.Plan.of(1, EnumSet.noneOf(SimulatedDay.Fault.class))
                            .withSize(name.equals("sajha") ? FleetSize.SAJHA : FleetSize.JADRAN)
                            .withLength(LENGTH));
            final long all = day.crossZoneBytes().values().stream()
                    .mapToLong(Long::longValue)
                    .sum();
            System.out.println(name + ": " + all + " bytes between zones, " + all / day.committed()
                    + " per accepted message; " + day.crossZoneBytes());
        }
    }
}
