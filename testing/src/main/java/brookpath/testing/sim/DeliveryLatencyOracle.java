package brookpath.testing.sim;

import brookpath.testing.oracle.History.Sent;
import java.util.Map;

/**
 * Checks that each committed message reaches each session that was listening, within the bound; says what excused the
 * others.
 */
final class DeliveryLatencyOracle {
    private final SimulatedCluster cluster;
    private final Callers callers;

    DeliveryLatencyOracle(final SimulatedCluster cluster, final Callers callers) {
        this.cluster = cluster;
        this.callers = callers;
    }

    void committed(final Sent s) {
        final int group = callers.groupOf(s.topic);
        for (final Subscriber sub : callers.listeningTo(s.topic)) {
            cluster.count("deliveries checked");
            look(s, sub, sub.sessionId, group, s.committedAt + cluster.timing.deliverMs());
        }
    }

    private void look(final Sent s, final Subscriber sub, final long sessionId, final int group, final long deadline) {
        cluster.at(deadline + 1, () -> {
            if (sub.listener.has(s) || sub.sessionId != sessionId || !callers.holds(sub)) {
                // why: a session that broke is checked by its resuming, not by this
                return;
            }
            ExpectedOutages.Outage why = null;
            long until = 0;
            for (final Map.Entry<ExpectedOutages.Outage, Long> e :
                    cluster.outages.deliveryOutages(sub.gateway, group).entrySet()) {
                if (e.getValue() > until) {
                    until = e.getValue();
                    why = e.getKey();
                }
            }
            if (until + cluster.timing.deliverMs() <= deadline) {
                cluster.history.violation(
                        cluster.now(),
                        sub.name + " on front " + sub.gateway + " has not got " + s.topic + "|" + s.sender + "|" + s.seq
                                + ", accepted at " + s.committedAt + " in group " + group + ", "
                                + (cluster.now() - s.committedAt) + " ms later, though it was listening");
            } else {
                cluster.count("late, excused by " + why);
                look(s, sub, sessionId, group, until + cluster.timing.deliverMs());
            }
        });
    }
}
