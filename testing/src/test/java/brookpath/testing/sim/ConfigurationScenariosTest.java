package brookpath.testing.sim;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import brookpath.coordination.node.ControllerNode;
import brookpath.coordination.node.GatewayNode;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Configuration changes: they are confirmed one at a time, and a lease enforces them on every gateway. */
public final class ConfigurationScenariosTest extends ClusterScenario {
    @Test
    public void removedKeyIsRejectedEverywhereEvenOnAPartitionedGateway() {
        begin(5);
        cluster.callers.subscriber("guest", "key-guest", List.of("permits/t0"));
        cluster.callers.publisher("ana", "permits/t0", "key-members", 200, 40);
        cluster.callers.publisher("guest-1", "permits/t0", "key-guest", 200, 5);
        cluster.run(cluster.now() + 2_000);
        final SimulatedProcess partitioned = cluster.processes.get(31);
        for (final int controller : cluster.controllers) {
            cluster.net.cut(controller, 31);
            cluster.net.cut(31, controller);
        }
        final long asked = cluster.now();
        final long[] confirmedAt = new long[1];
        cluster.callers.operators.change(cluster.callers.operators.document(1, "second", false), "second", r -> {
            assertEquals(r.status(), 200, r.toString());
            confirmedAt[0] = cluster.now();
        });
        cluster.run(cluster.now() + 4_000);
        assertTrue(
                confirmedAt[0] > 0 && confirmedAt[0] - asked <= cluster.timing.changeMs(),
                "confirmed after " + (confirmedAt[0] - asked));
        assertFalse(
                ((GatewayNode) partitioned.node).client().leased(partitioned.mono()),
                "a partitioned gateway still serves");
        assertEquals(publish(31, "key-guest", "permits/t0", "guest-2", 1).status(), 503);
        assertEquals(publish(32, "key-guest", "permits/t0", "guest-2", 1).status(), 401);
        cluster.net.heal();
        cluster.run(cluster.now() + 3_000);
        assertEquals(publish(31, "key-guest", "permits/t0", "guest-2", 1).status(), 401);
        assertNoViolationsAfterQuiescence();
    }

    @Test
    public void exactlyOneOfTwoConcurrentChangesIsConfirmed() {
        for (long seed = 10; seed < 18; seed++) {
            begin(seed);
            final List<Integer> statuses = new ArrayList<>();
            for (final String id : List.of("left", "right")) {
                cluster.callers.operators.change(
                        cluster.callers.operators.document(1, id, false), id, r -> statuses.add(r.status()));
            }
            if (seed % 2 == 0) {
                cluster.at(cluster.now() + 5, () -> cluster.kill(controlLeader(), true));
            }
            cluster.run(cluster.now() + 8_000);
            statuses.sort(null);
            assertEquals(statuses, List.of(200, 409), "seed " + seed);
            assertTrue(
                    cluster.history.violations().isEmpty(),
                    cluster.history.violations().toString());
        }
    }

    @Test
    public void repeatedChangeIdGetsTheSameOutcome() {
        begin(6);
        final List<String> got = new ArrayList<>();
        final String stale = cluster.callers.operators.document(0, "stale", true);
        final String invalid =
                cluster.callers.operators.document(1, "odd", true).replace("\"sender\"", "\"sideways\"");
        for (int i = 0; i < 2; i++) {
            cluster.callers.operators.change(stale, "stale", r -> got.add(r.status() + r.json()));
            cluster.run(cluster.now() + 1_000);
            cluster.callers.operators.change(invalid, "odd", r -> got.add(r.status() + r.json()));
            cluster.run(cluster.now() + 1_000);
            cluster.kill(controlLeader(), true);
            cluster.run(cluster.now() + 500);
            cluster.processes.values().forEach(cluster::restart);
            cluster.run(cluster.now() + 4_000);
        }
        assertEquals(got.size(), 4, got.toString());
        assertEquals(got.get(2), got.get(0));
        assertEquals(got.get(3), got.get(1));
        assertTrue(
                got.get(0).startsWith("409")
                        && got.get(1).startsWith("422")
                        && got.get(1).contains("/spaces/0/order"),
                got.toString());
    }

    /**
     * How long the first leader is down: once shorter than the others take to detect it, once longer than they take to
     * elect another.
     */
    @DataProvider
    public Object[][] absences() {
        return new Object[][] {{300L}, {900L}};
    }

    @Test(dataProvider = "absences")
    public void noGatewayLosesItsLeaseWhenTwoControlLeadersCrashInARow(final long absenceMs) {
        for (long seed = 80; seed < 84; seed++) {
            begin(seed);
            cluster.run(cluster.now() + 1_000 + 150 * (seed - 80));
            final SimulatedProcess first = controlLeader();
            cluster.kill(first, false);
            cluster.at(cluster.now() + absenceMs, () -> cluster.restart(first));
            // A leader that is back before the others detect its crash is elected again, and is then also the second to
            // crash
            SimulatedProcess second = null;
            boolean killed = false;
            long actsSince = 0;
            for (final long end = cluster.now() + 5_000; cluster.now() < end; ) {
                cluster.run(cluster.now() + 5);
                final SimulatedProcess now = controlLeader();
                final boolean acts =
                        now.alive && ((ControllerNode) now.node).group().mayAct(now.mono());
                if (acts && second == null) {
                    second = now;
                    actsSince = cluster.now();
                }
                if (second != null && !killed && cluster.now() >= actsSince + 150) {
                    killed = true;
                    cluster.kill(second, false);
                }
                for (final int id : cluster.gateways) {
                    final SimulatedProcess gateway = cluster.processes.get(id);
                    assertTrue(
                            ((GatewayNode) gateway.node).client().leased(gateway.mono()),
                            "seed " + seed + ": gateway " + id + " has no lease at " + cluster.now());
                }
            }
            assertTrue(killed, "the second leader was not killed");
        }
    }
}
