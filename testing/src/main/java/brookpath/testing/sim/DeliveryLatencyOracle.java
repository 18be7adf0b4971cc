package brookpath.testing.sim;

import brookpath.testing.oracle.History.Sent;
import java.util.Map;

/**
 * Checks that each committed message reaches each listening session within the delivery bound, and counts the late
 * deliveries that an expected outage exempts.
 */
final class DeliveryLatencyOracle {
    private final SimulatedCluster cluster;
    private final Callers callers;

    DeliveryLatencyOracle(final SimulatedCluster cluster, final Callers callers) {
        this.cluster = cluster;
        this.callers = callers;
    }

    void committed(final Sent sent) {
        final int group = callers.groupOf(sent.topic);
        for (final Subscriber subscriber : callers.listeningTo(sent.topic)) {
            cluster.count("deliveries checked");
            checkAt(sent, subscriber, subscriber.sessionId, group, sent.committedAt + cluster.timing.deliverMs());
        }
    }

    private void checkAt(
            final Sent sent, final Subscriber subscriber, final long sessionId, final int group, final long deadline) {
        cluster.at(deadline + 1, () -> {
            if (subscriber.listener.has(sent) || subscriber.sessionId != sessionId || !callers.isOpen(subscriber)) {
                // the messages that a broken session missed are checked when it resumes
                return;
            }
            ExpectedOutages.Outage outage = null;
            long until = 0;
            for (final Map.Entry<ExpectedOutages.Outage, Long> e :
                    cluster.outages.deliveryOutages(subscriber.gateway, group).entrySet()) {
                if (e.getValue() > until) {
                    until = e.getValue();
                    outage = e.getKey();
                }
            }
            if (until + cluster.timing.deliverMs() <= deadline) {
                cluster.history.violation(
                        cluster.now(),
                        subscriber.name + " on gateway " + subscriber.gateway + " has not received " + sent.topic + "|"
                                + sent.sender + "|" + sent.seq
                                + ", committed at " + sent.committedAt + " in group " + group + ", "
                                + (cluster.now() - sent.committedAt) + " ms later, although it was listening");
            } else {
                cluster.count("late, exempt because of " + outage);
                checkAt(sent, subscriber, sessionId, group, until + cluster.timing.deliverMs());
            }
        });
    }
}
