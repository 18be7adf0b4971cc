package brookpath.testing.sim;

import brookpath.testing.oracle.History.Sent;
import java.util.Map;

/**
 * Judges that each committed message reaches each session that was listening, within the bound; says what excused the
 * others.
 */
final class DeliveryLatencyOracle {
    private final SimulatedCluster world;
    private final Callers callers;

    DeliveryLatencyOracle(final SimulatedCluster world, final Callers callers) {
        this.world = world;
        this.callers = callers;
    }

    void committed(final Sent s) {
        final int group = callers.groupOf(s.topic);
        for (final Subscriber sub : callers.listeningTo(s.topic)) {
            world.count("deliveries judged");
            look(s, sub, sub.sessionId, group, s.committedAt + world.timing.deliverMs());
        }
    }

    private void look(final Sent s, final Subscriber sub, final long sessionId, final int group, final long deadline) {
        world.at(deadline + 1, () -> {
            if (sub.listener.has(s) || sub.sessionId != sessionId || !callers.holds(sub)) {
                // why: a session that broke is judged by its resuming, not by this
                return;
            }
            ExpectedOutages.Excuse why = null;
            long until = 0;
            for (final Map.Entry<ExpectedOutages.Excuse, Long> e :
                    world.wellness.deliveryExcuses(sub.gateway, group).entrySet()) {
                if (e.getValue() > until) {
                    until = e.getValue();
                    why = e.getKey();
                }
            }
            if (until + world.timing.deliverMs() <= deadline) {
                world.history.violation(
                        world.now(),
                        sub.name + " on front " + sub.gateway + " has not got " + s.topic + "|" + s.sender + "|" + s.seq
                                + ", accepted at " + s.committedAt + " in group " + group + ", "
                                + (world.now() - s.committedAt) + " ms later, though it was listening");
            } else {
                world.count("late, excused by " + why);
                look(s, sub, sessionId, group, until + world.timing.deliverMs());
            }
        });
    }
}
