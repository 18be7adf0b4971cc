package brookpath.testing.sim;

import static java.nio.charset.StandardCharsets.UTF_8;

import brookpath.coordination.message.Response;
import brookpath.testing.oracle.control.ChangeHistory.Change;
import brookpath.testing.oracle.control.ControlHistory;
import java.util.ArrayList;
import java.util.List;

/**
 * Operators as the users have them: whole configurations to any controller, several under way at once, each sent again
 * unchanged, to other machines first, until it has a final answer.
 */
final class Operators {
    /** Hears of acknowledgements and of changes that were just sent, so that failures can strike right then. */
    interface Observer {
        void acknowledged(SimulatedProcess by);

        void sent(SimulatedProcess to);
    }

    private static final int MOST_UNDER_WAY = 8;
    /** An order is sent once more while it is among so many that were acknowledged last. */
    private static final int REPEATED_WITHIN = 1_000;

    private static final long REFUSED_GAP_MS = 10;
    private static final int OK = 200;
    private static final int CONFLICT = 409;
    private static final long PAUSE_MS = 100;
    private static final long LONGEST_PAUSE_MS = 1_000;
    private static final int TOO_LATE = 408;
    private static final int TOO_MANY = 429;

    private final SimulatedCluster cluster;
    private final ControlFleet fleet;
    private final ControlHistory history;
    private final ControlCall calls;
    private final List<Change> acknowledged = new ArrayList<>();
    private Observer observer;
    private long newest;
    private int orders;
    private int underWay;
    private boolean storming;
    private boolean quiet;

    Operators(
            final SimulatedCluster cluster,
            final ControlFleet fleet,
            final ControlHistory history,
            final ControlCall calls) {
        this.cluster = cluster;
        this.fleet = fleet;
        this.history = history;
        this.calls = calls;
    }

    void observer(final Observer next) {
        observer = next;
    }

    /** No new orders; those under way are seen through. */
    void quiet() {
        quiet = true;
    }

    long newest() {
        return newest;
    }

    /** A final answer ends an order; after any other it is sent again. */
    static boolean isFinal(final int status) {
        return status / 100 == 2 || (status / 100 == 4 && status != TOO_LATE && status != TOO_MANY);
    }

    // ---- orders

    /** An order now and then, two at once on one version, nonsense, an old order once more. */
    void placeOrders(final long every) {
        if (quiet) {
            return;
        }
        switch (cluster.random.nextInt(10)) {
            case 0 -> race();
            case 1 -> order(false);
            case 2 -> repeat();
            default -> order(true);
        }
        cluster.at(cluster.now() + every / 2 + cluster.random.nextLong(every), () -> placeOrders(every));
    }

    /** Two operators make different changes from the same version, at once. */
    void race() {
        cluster.count("control: races");
        order(true);
        order(true);
    }

    /** A change each so often, for so many times. */
    void storm(final int changes, final long gapMs) {
        storming = changes > 0 && !quiet;
        if (storming) {
            order(true);
            cluster.at(cluster.now() + gapMs, () -> storm(changes - 1, gapMs));
        }
    }

    /** A run of invalid changes, and then the one once more that was acknowledged last. */
    void refusedOrders(final int changes) {
        storming = changes > 0 && !quiet;
        if (storming) {
            order(false);
            cluster.at(cluster.now() + REFUSED_GAP_MS, () -> refusedOrders(changes - 1));
        } else if (!acknowledged.isEmpty()) {
            repeat(acknowledged.get(acknowledged.size() - 1));
        }
    }

    /** Whether a run of hundreds of orders is under way. */
    boolean storming() {
        return storming;
    }

    /** One whole configuration on top of the newest version that is known; nothing where eight are under way. */
    void order(final boolean valid) {
        if (underWay >= MOST_UNDER_WAY) {
            cluster.count("control: orders held back");
            return;
        }
        final String changeId = "order-" + ++orders;
        final String document = cluster.callers.operators.document(newest, changeId, true);
        final String text = valid ? document : document.replace("\"keepingSeconds\":30", "\"keepingSeconds\":-3");
        final Change change = new Change(changeId, newest, text, valid, cluster.now());
        history.changes.sent(change);
        if (valid) {
            history.availability.ordered(cluster.now(), changeId);
        }
        underWay++;
        send(change, anyController(null), 0);
    }

    /** The newest order, or an older one, that was acknowledged is sent once more, as by one who did not hear of it. */
    private void repeat() {
        if (!acknowledged.isEmpty() && underWay < MOST_UNDER_WAY) {
            final int back = cluster.random.nextBoolean() ? 1 : 1 + cluster.random.nextInt(acknowledged.size());
            repeat(acknowledged.get(acknowledged.size() - Math.min(back, REPEATED_WITHIN)));
        }
    }

    private void repeat(final Change change) {
        cluster.count("control: repeats");
        underWay++;
        history.availability.ordered(cluster.now(), change.changeId());
        send(change, anyController(null), 0);
    }

    private void send(final Change change, final SimulatedProcess to, final int tries) {
        cluster.count(tries == 0 ? "control: orders" : "control: orders sent again");
        calls.call(
                to,
                ControlAnswer.CHANGE,
                change.document().getBytes(UTF_8),
                change.changeId(),
                response -> answered(change, to, tries, response));
        if (observer != null) {
            observer.sent(to);
        }
    }

    private void answered(final Change change, final SimulatedProcess by, final int tries, final Response response) {
        if (!isFinal(response.status())) {
            cluster.note(by.id, change.changeId() + " got no clear answer: " + response, false);
            again(change, by, tries);
            return;
        }
        if (response.status() == OK) {
            taken(change, ControlAnswer.of(response).version());
            if (calls.losesAnswer()) {
                cluster.count("control: acknowledgements lost");
                history.availability.finished(change.changeId());
                again(change, by, tries);
                return;
            }
            acknowledged.add(change);
            newest = Math.max(newest, ControlAnswer.of(response).version());
        } else {
            refused(change, response);
        }
        underWay--;
        history.availability.finished(change.changeId());
        if (response.status() == OK && observer != null) {
            observer.acknowledged(by);
        }
    }

    private void taken(final Change change, final long version) {
        history.changes.acknowledged(cluster.now(), change.changeId(), version);
        cluster.callers.operators.confirmed(version, change.changeId());
    }

    private void refused(final Change change, final Response response) {
        cluster.count("control: refused with " + response.status());
        history.changes.refused(cluster.now(), change.changeId(), response.status());
        if (response.status() == CONFLICT) {
            read(anyController(null));
        }
    }

    private void again(final Change change, final SimulatedProcess last, final int tries) {
        final long pause = Math.min(LONGEST_PAUSE_MS, PAUSE_MS << Math.min(tries, 4));
        cluster.at(
                cluster.now() + pause / 2 + cluster.random.nextLong(pause),
                () -> send(change, anyController(last), tries + 1));
    }

    /** Any controller that is not known to be gone, the one that was tried last only where there is no other. */
    private SimulatedProcess anyController(final SimulatedProcess last) {
        final List<SimulatedProcess> others =
                fleet.controllers().stream().filter(process -> process != last).toList();
        return others.get(cluster.random.nextInt(others.size()));
    }

    // ---- reads

    /** Reads from each controller, again and again, also after the last order. */
    void read(final long every) {
        fleet.controllers().forEach(this::read);
        cluster.at(cluster.now() + every / 2 + cluster.random.nextLong(every), () -> read(every));
    }

    private void read(final SimulatedProcess from) {
        final long startedAt = cluster.now();
        calls.call(from, ControlAnswer.READ, new byte[0], "", response -> {
            if (response.status() == OK) {
                final ControlAnswer answer = ControlAnswer.of(response);
                history.availability.served(cluster.now(), from.id);
                history.changes.read(
                        startedAt,
                        cluster.now(),
                        answer.version(),
                        ControlAnswer.changeIdOf(answer.document()),
                        answer.document());
                newest = Math.max(newest, answer.version());
            } else if (response.status() / 100 == 4) {
                // why: no configuration at all is the oldest one
                history.changes.read(startedAt, cluster.now(), 0, "", "");
            }
        });
    }

    /** The last read, from any controller that answers; tried for a while. */
    void readBack(final int tries) {
        final long startedAt = cluster.now();
        calls.call(anyController(null), ControlAnswer.READ, new byte[0], "", response -> {
            final ControlAnswer answer = ControlAnswer.of(response);
            if (response.status() == OK) {
                history.changes.readBack(
                        startedAt,
                        cluster.now(),
                        answer.version(),
                        ControlAnswer.changeIdOf(answer.document()),
                        answer.document());
            } else if (tries > 0 && !isFinal(response.status())) {
                cluster.at(cluster.now() + LONGEST_PAUSE_MS, () -> readBack(tries - 1));
            } else {
                history.changes.readBackFailed(cluster.now(), response.status());
            }
        });
    }
}
