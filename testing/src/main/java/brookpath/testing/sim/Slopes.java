package brookpath.testing.sim;

import brookpath.coordination.node.NodeRequest;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;

/**
 * Measures the messages, bytes and processor time of a process of each role as the fleet grows: {@code bin/slopes}. All
 * simulated processes run in this one; messages and bytes are the same in every run, processor times depend on the
 * machine.
 */
public final class Slopes {
    private static final long WARM_UP_MS = 10_000;
    private static final long MEASURED_MS = 10_000;

    private Slopes() {}

    /** Prints a row for each fleet size. */
    public static void main(final String[] args) {
        printSessionHeap();
        for (final FleetSize size : List.of(
                new FleetSize(4, 11, 450, 400, 8, 95, 3),
                new FleetSize(16, 11, 450, 400, 8, 95, 3),
                new FleetSize(64, 11, 450, 400, 8, 95, 3),
                new FleetSize(16, 44, 450, 400, 8, 95, 3),
                new FleetSize(16, 176, 450, 400, 8, 95, 3),
                new FleetSize(16, 11, 450, 1_600, 8, 95, 3),
                new FleetSize(16, 11, 450, 400, 8, 380, 3))) {
            final SimulatedCluster cluster =
                    SimulatedDay.withoutFaults(SimulatedDay.Plan.of(1, EnumSet.noneOf(SimulatedDay.Fault.class))
                            .withSize(size)
                            .withLength(WARM_UP_MS));
            for (final SimulatedProcess p : cluster.processes.values()) {
                p.sentMessages = 0;
                p.sentBytes = 0;
                p.receivedBytes = 0;
                p.busyNanos = 0;
            }
            final int committed = cluster.history.committed();
            final int delivered = cluster.history.delivered();
            cluster.run(cluster.now() + MEASURED_MS);
            System.out.printf(
                    Locale.ROOT,
                    "groups %d, gateways %d, sessions %d: %d committed/s, %d delivered/s%n",
                    size.groups(),
                    size.gateways(),
                    size.sessions(),
                    (cluster.history.committed() - committed) * 1_000L / MEASURED_MS,
                    (cluster.history.delivered() - delivered) * 1_000L / MEASURED_MS);
            printRole("gateway", cluster, cluster.gateways);
            printRole("storage", cluster, cluster.storages);
            printRole("controller", cluster, cluster.controllers);
        }
    }

    /** Prints the heap that a gateway uses per session, each of which listens to two of 1,000 topics. */
    private static void printSessionHeap() {
        final SimulatedCluster cluster =
                SimulatedDay.withoutFaults(SimulatedDay.Plan.of(1, EnumSet.noneOf(SimulatedDay.Fault.class))
                        .withLength(WARM_UP_MS));
        cluster.callers.quiet = true;
        cluster.run(cluster.now() + 5_000);
        final SimulatedProcess gateway = cluster.processes.get(cluster.gateways.get(0));
        final long before = usedHeapBytes();
        final int sessions = 4_000;
        for (int i = 0; i < sessions; i++) {
            final int n = i;
            cluster.callers.ask(
                    gateway,
                    id -> {
                        for (int t = 0; t < 2; t++) {
                            final String topic = "permits/m" + (2 * n + t) % 1_000;
                            cluster.callers.ask(
                                    gateway,
                                    join -> new NodeRequest.Join(join, id, topic, null),
                                    r -> cluster.count("joined " + r.status()));
                        }
                        return new NodeRequest.Open(id, "key-members");
                    },
                    r -> cluster.count("opened " + r.status()));
        }
        cluster.run(cluster.now() + 5_000);
        System.out.printf(
                Locale.ROOT,
                "%d sessions opened, %d topics joined at one gateway: %d bytes of heap per session%n",
                cluster.counted("opened 200"),
                cluster.counted("joined 200"),
                (usedHeapBytes() - before) / sessions);
    }

    private static long usedHeapBytes() {
        System.gc();
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    private static void printRole(final String role, final SimulatedCluster cluster, final List<Integer> ids) {
        long messages = 0;
        long out = 0;
        long in = 0;
        long busy = 0;
        for (final int id : ids) {
            final SimulatedProcess p = cluster.processes.get(id);
            messages += p.sentMessages;
            out += p.sentBytes;
            in += p.receivedBytes;
            busy += p.busyNanos;
        }
        final double processSeconds = ids.size() * MEASURED_MS / 1_000.0;
        System.out.printf(
                Locale.ROOT,
                "  %-8s %7.1f messages/s, %8.0f bytes/s out, %8.0f in, %6.2f ms/s of a core%n",
                role,
                messages / processSeconds,
                out / processSeconds,
                in / processSeconds,
                busy / 1e6 / processSeconds);
    }
}
