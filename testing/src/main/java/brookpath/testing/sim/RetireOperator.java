package brookpath.testing.sim;

import static java.nio.charset.StandardCharsets.UTF_8;

import brookpath.coordination.message.Response;
import brookpath.testing.oracle.control.ControlHistory;
import brookpath.testing.oracle.control.RetireHistory.Progress;
import java.util.List;
import java.util.function.Consumer;

/** An operator who has storage machines emptied by name, and shuts them down once they hold nothing. */
final class RetireOperator {
    private static final long AGAIN_MS = 500;
    private static final int OK = 200;
    private static final int UNKNOWN = 404;

    /**
     * A machine that is to be emptied.
     *
     * @param giveUpAt an order that was not acknowledged by then is not sent again
     * @param acknowledged runs with the controller that acknowledges the order
     * @param emptied runs once a caller has been told that the machine holds nothing
     */
    record Retirement(
            SimulatedProcess storage,
            String name,
            long giveUpAt,
            Consumer<SimulatedProcess> acknowledged,
            Runnable emptied) {}

    private final SimulatedCluster cluster;
    private final ControlFleet fleet;
    private final ControlHistory history;
    private final ControlCall calls;

    RetireOperator(
            final SimulatedCluster cluster,
            final ControlFleet fleet,
            final ControlHistory history,
            final ControlCall calls) {
        this.cluster = cluster;
        this.fleet = fleet;
        this.history = history;
        this.calls = calls;
    }

    /** Orders that the machine be emptied, again until that is acknowledged; waits until it is empty. */
    void retire(final Retirement retirement) {
        cluster.count("control: retirements");
        order(retirement);
    }

    private void order(final Retirement retirement) {
        if (cluster.now() > retirement.giveUpAt()) {
            look(retirement);
            return;
        }
        send(retirement, taken -> {
            if (taken && !calls.losesAnswer()) {
                look(retirement);
            } else {
                order(retirement);
            }
        });
    }

    /** Sends the order once; the next step comes a while after its answer. */
    private void send(final Retirement retirement, final Consumer<Boolean> next) {
        final long startedAt = cluster.now();
        final SimulatedProcess to = anyController();
        final String subject = String.valueOf(retirement.storage().id);
        calls.call(to, ControlAnswer.RETIRE, retirement.name().getBytes(UTF_8), subject, response -> {
            final boolean taken = response.status() / 100 == 2;
            if (taken) {
                history.retirements.acknowledged(cluster.now(), retirement.name());
                retirement.acknowledged().accept(to);
            } else if (Operators.isFinal(response.status())) {
                cluster.count("control: retirements refused with " + response.status());
                history.retirements.refused(startedAt, cluster.now(), retirement.name(), response.status());
            }
            cluster.at(cluster.now() + AGAIN_MS, () -> next.accept(taken));
        });
    }

    /** Asks how far it is; in every other turn the order is sent once more, as after a lost acknowledgement. */
    private void look(final Retirement retirement) {
        if (retirement.storage().goneForGood || !retirement.name().equals(fleet.name(retirement.storage().id))) {
            return;
        }
        final long startedAt = cluster.now();
        final byte[] name = retirement.name().getBytes(UTF_8);
        calls.call(anyController(), ControlAnswer.RETIREMENT, name, "", response -> {
            final Progress progress = progress(response);
            if (progress != null) {
                history.retirements.progress(startedAt, cluster.now(), retirement.name(), progress);
            }
            if (progress == Progress.COMPLETED) {
                cluster.count("control: retirements completed");
                retirement.emptied().run();
                cluster.at(cluster.now() + AGAIN_MS, () -> send(retirement, taken -> {}));
            } else if (progress == Progress.RUNNING && cluster.random.nextBoolean()) {
                send(retirement, taken -> look(retirement));
            } else {
                cluster.at(cluster.now() + AGAIN_MS, () -> look(retirement));
            }
        });
    }

    /** How far the retirement is, null where the answer does not say. */
    private static Progress progress(final Response response) {
        if (response.status() == UNKNOWN) {
            return Progress.UNKNOWN;
        }
        if (response.status() != OK) {
            return null;
        }
        return ControlAnswer.of(response).empty() ? Progress.COMPLETED : Progress.RUNNING;
    }

    private SimulatedProcess anyController() {
        final List<SimulatedProcess> all = fleet.controllers();
        return all.get(cluster.random.nextInt(all.size()));
    }
}
