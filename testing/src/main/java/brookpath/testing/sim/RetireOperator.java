package brookpath.testing.sim;

import static java.nio.charset.StandardCharsets.UTF_8;

import brookpath.coordination.message.Response;
import brookpath.testing.oracle.control.ControlHistory;
import brookpath.testing.oracle.control.RetireHistory.Progress;
import java.util.List;
import java.util.function.Consumer;

/** An operator who retires storage nodes by name, and shuts them down once they hold no replicas. */
final class RetireOperator {
    private static final long RETRY_DELAY_MS = 500;
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;

    /**
     * The retirement of a storage node.
     *
     * @param deadline a request that has not been acknowledged by then is not sent again
     * @param acknowledged runs with the controller that acknowledges the request
     * @param emptied runs once a controller has reported that the node holds no replicas
     */
    record Retirement(
            SimulatedProcess storage,
            String name,
            long deadline,
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

    /** Requests the retirement until it is acknowledged, then polls until the node is empty. */
    void retire(final Retirement retirement) {
        cluster.count("control: retirements");
        sendUntilAcknowledged(retirement);
    }

    private void sendUntilAcknowledged(final Retirement retirement) {
        if (cluster.now() > retirement.deadline()) {
            pollProgress(retirement);
            return;
        }
        send(retirement, accepted -> {
            if (accepted && !calls.losesAnswer()) {
                pollProgress(retirement);
            } else {
                sendUntilAcknowledged(retirement);
            }
        });
    }

    /** Sends the request once, and runs the next step some time after its response. */
    private void send(final Retirement retirement, final Consumer<Boolean> next) {
        final long startedAt = cluster.now();
        final SimulatedProcess controller = anyController();
        final String subject = String.valueOf(retirement.storage().id);
        calls.call(controller, ControlAnswer.RETIRE, retirement.name().getBytes(UTF_8), subject, response -> {
            final boolean accepted = response.status() / 100 == 2;
            if (accepted) {
                history.retirements.acknowledged(cluster.now(), retirement.name());
                retirement.acknowledged().accept(controller);
            } else if (Operators.isFinal(response.status())) {
                cluster.count("control: retirements refused with " + response.status());
                history.retirements.refused(startedAt, cluster.now(), retirement.name(), response.status());
            }
            cluster.at(cluster.now() + RETRY_DELAY_MS, () -> next.accept(accepted));
        });
    }

    /** Polls the progress; half of the time it also repeats the request, as after a lost acknowledgement. */
    private void pollProgress(final Retirement retirement) {
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
                cluster.at(cluster.now() + RETRY_DELAY_MS, () -> send(retirement, accepted -> {}));
            } else if (progress == Progress.RUNNING && cluster.random.nextBoolean()) {
                send(retirement, accepted -> pollProgress(retirement));
            } else {
                cluster.at(cluster.now() + RETRY_DELAY_MS, () -> pollProgress(retirement));
            }
        });
    }

    /** The progress of the retirement; null if the response does not tell. */
    private static Progress progress(final Response response) {
        if (response.status() == NOT_FOUND) {
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
