package brookpath.testing.sim;

import static java.nio.charset.StandardCharsets.UTF_8;

import brookpath.coordination.message.Response;
import brookpath.testing.oracle.control.ChangeHistory.Change;
import brookpath.testing.oracle.control.ControlHistory;
import java.util.ArrayList;
import java.util.List;

/**
 * Simulated operators. An order is a change that carries a whole configuration. Operators send orders to random
 * controllers, several at once, and retry each one unchanged on another controller until it has a final answer.
 */
final class Operators {
    /** Is told of acknowledgements and of orders that were just sent, so that faults can be injected right then. */
    interface Observer {
        void acknowledged(SimulatedProcess by);

        void sent(SimulatedProcess to);
    }

    private static final int MAX_IN_FLIGHT = 8;
    /** Only this many of the most recently acknowledged orders are sent again. */
    private static final int REPEATABLE_ORDERS = 1_000;

    private static final long REFUSED_ORDER_GAP_MS = 10;
    private static final int OK = 200;
    private static final int CONFLICT = 409;
    private static final long MIN_RETRY_DELAY_MS = 100;
    private static final long MAX_RETRY_DELAY_MS = 1_000;
    private static final int REQUEST_TIMEOUT = 408;
    private static final int TOO_MANY_REQUESTS = 429;

    private final SimulatedCluster cluster;
    private final ControlFleet fleet;
    private final ControlHistory history;
    private final ControlCall calls;
    private final List<Change> acknowledged = new ArrayList<>();
    private Observer observer;
    private long newest;
    private int orders;
    private int inFlight;
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

    void observer(final Observer other) {
        observer = other;
    }

    /** Stops new orders; those in flight are retried until they have a final answer. */
    void quiet() {
        quiet = true;
    }

    long newest() {
        return newest;
    }

    /** Whether an answer ends an order; after any other one the order is sent again. */
    static boolean isFinal(final int status) {
        return status / 100 == 2 || (status / 100 == 4 && status != REQUEST_TIMEOUT && status != TOO_MANY_REQUESTS);
    }

    // ---- orders

    /** Places orders about every period: most are valid, some race, some are invalid, some repeat an old order. */
    void placeOrders(final long periodMs) {
        if (quiet) {
            return;
        }
        switch (cluster.random.nextInt(10)) {
            case 0 -> race();
            case 1 -> order(false);
            case 2 -> repeat();
            default -> order(true);
        }
        cluster.at(cluster.now() + periodMs / 2 + cluster.random.nextLong(periodMs), () -> placeOrders(periodMs));
    }

    /** Sends two different orders based on the same version at once. */
    void race() {
        cluster.count("control: races");
        order(true);
        order(true);
    }

    /** Sends so many orders, one per gap. */
    void storm(final int changes, final long gapMs) {
        storming = changes > 0 && !quiet;
        if (storming) {
            order(true);
            cluster.at(cluster.now() + gapMs, () -> storm(changes - 1, gapMs));
        }
    }

    /** Sends so many invalid orders, then repeats the order that was acknowledged last. */
    void refusedOrders(final int changes) {
        storming = changes > 0 && !quiet;
        if (storming) {
            order(false);
            cluster.at(cluster.now() + REFUSED_ORDER_GAP_MS, () -> refusedOrders(changes - 1));
        } else if (!acknowledged.isEmpty()) {
            repeat(acknowledged.get(acknowledged.size() - 1));
        }
    }

    /** Whether a long series of orders is being sent. */
    boolean storming() {
        return storming;
    }

    /** Sends an order based on the newest known version, unless the maximum is in flight. */
    void order(final boolean valid) {
        if (inFlight >= MAX_IN_FLIGHT) {
            cluster.count("control: orders not sent, too many in flight");
            return;
        }
        final String changeId = "order-" + ++orders;
        final String document = cluster.callers.operators.document(newest, changeId, true);
        final String text = valid ? document : document.replace("\"keepingSeconds\":30", "\"keepingSeconds\":-3");
        final Change change = new Change(changeId, newest, text, valid, cluster.now());
        history.changes.sent(change);
        if (valid) {
            history.availability.changeSent(cluster.now(), changeId);
        }
        inFlight++;
        send(change, anyController(null), 0);
    }

    /** Sends the newest acknowledged order, or an older one, again, as an operator does who missed the answer. */
    private void repeat() {
        if (!acknowledged.isEmpty() && inFlight < MAX_IN_FLIGHT) {
            final int back = cluster.random.nextBoolean() ? 1 : 1 + cluster.random.nextInt(acknowledged.size());
            repeat(acknowledged.get(acknowledged.size() - Math.min(back, REPEATABLE_ORDERS)));
        }
    }

    private void repeat(final Change change) {
        cluster.count("control: repeats");
        inFlight++;
        history.availability.changeSent(cluster.now(), change.changeId());
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
            cluster.note(by.id, change.changeId() + " got no final answer: " + response, false);
            retry(change, by, tries);
            return;
        }
        if (response.status() == OK) {
            recordAcknowledged(change, ControlAnswer.of(response).version());
            if (calls.losesAnswer()) {
                cluster.count("control: acknowledgements lost");
                history.availability.changeAnswered(change.changeId());
                retry(change, by, tries);
                return;
            }
            acknowledged.add(change);
            newest = Math.max(newest, ControlAnswer.of(response).version());
        } else {
            recordRefused(change, response);
        }
        inFlight--;
        history.availability.changeAnswered(change.changeId());
        if (response.status() == OK && observer != null) {
            observer.acknowledged(by);
        }
    }

    private void recordAcknowledged(final Change change, final long version) {
        history.changes.acknowledged(cluster.now(), change.changeId(), version);
        cluster.callers.operators.confirmed(version, change.changeId());
    }

    private void recordRefused(final Change change, final Response response) {
        cluster.count("control: refused with " + response.status());
        history.changes.refused(cluster.now(), change.changeId(), response.status());
        if (response.status() == CONFLICT) {
            read(anyController(null));
        }
    }

    private void retry(final Change change, final SimulatedProcess last, final int tries) {
        final long delay = Math.min(MAX_RETRY_DELAY_MS, MIN_RETRY_DELAY_MS << Math.min(tries, 4));
        cluster.at(
                cluster.now() + delay / 2 + cluster.random.nextLong(delay),
                () -> send(change, anyController(last), tries + 1));
    }

    /** A random controller of the fleet other than the last one that was tried. */
    private SimulatedProcess anyController(final SimulatedProcess last) {
        final List<SimulatedProcess> others =
                fleet.controllers().stream().filter(process -> process != last).toList();
        return others.get(cluster.random.nextInt(others.size()));
    }

    // ---- reads

    /** Reads from each controller about every period, also after the last order. */
    void read(final long periodMs) {
        fleet.controllers().forEach(this::read);
        cluster.at(cluster.now() + periodMs / 2 + cluster.random.nextLong(periodMs), () -> read(periodMs));
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
                // a controller without any configuration reads as version 0, the oldest
                history.changes.read(startedAt, cluster.now(), 0, "", "");
            }
        });
    }

    /** The final read, from any controller, with this many retries. */
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
                cluster.at(cluster.now() + MAX_RETRY_DELAY_MS, () -> readBack(tries - 1));
            } else {
                history.changes.readBackFailed(cluster.now(), response.status());
            }
        });
    }
}
