package brookpath.trial.sim;

import brookpath.trial.oracle.History.Sent;
import java.util.Map;

/**
 * Judges that each accepted message reaches each session that was listening, within the bound; says what excused the
 * others.
 */
final class Punctual {
    private final World world;
    private final Callers callers;

    Punctual(final World world, final Callers callers) {
        this.world = world;
        this.callers = callers;
    }

    void accepted(final Sent s) {
        final int group = callers.groupOf(s.topic);
        for (final Subscriber sub : callers.listeningTo(s.topic)) {
            world.count("deliveries judged");
            look(s, sub, sub.sessionId, group, s.acceptedAt + world.tempo.deliverMs());
        }
    }

    private void look(final Sent s, final Subscriber sub, final long sessionId, final int group, final long horizon) {
        world.at(horizon + 1, () -> {
            if (sub.listener.has(s) || sub.sessionId != sessionId || !callers.holds(sub)) {
                // why: a session that broke is judged by its resuming, not by this
                return;
            }
            Wellness.Excuse why = null;
            long until = 0;
            for (final Map.Entry<Wellness.Excuse, Long> e :
                    world.wellness.deliveryExcuses(sub.front, group).entrySet()) {
                if (e.getValue() > until) {
                    until = e.getValue();
                    why = e.getKey();
                }
            }
            if (until + world.tempo.deliverMs() <= horizon) {
                world.history.violation(
                        world.now(),
                        sub.name + " on front " + sub.front + " has not got " + s.topic + "|" + s.sender + "|" + s.seq
                                + ", accepted at " + s.acceptedAt + " in group " + group + ", "
                                + (world.now() - s.acceptedAt) + " ms later, though it was listening");
            } else {
                world.count("late, excused by " + why);
                look(s, sub, sessionId, group, until + world.tempo.deliverMs());
            }
        });
    }
}
