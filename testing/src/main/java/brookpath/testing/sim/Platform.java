package brookpath.testing.sim;

import static java.nio.charset.StandardCharsets.UTF_8;

import brookpath.coordination.action.Action;
import brookpath.coordination.controllog.ControlState;
import brookpath.coordination.node.ControllerNode;
import brookpath.coordination.node.NodeRequest;
import brookpath.coordination.node.usage.PostOutcome;
import jakarta.json.Json;
import jakarta.json.JsonObject;
import java.io.ByteArrayInputStream;

/**
 * Simulates the users' platform, which receives usage reports. While it is disturbed it can be slow, fail, or accept a
 * report whose sender gets no answer.
 */
public final class Platform {
    private final SimulatedCluster cluster;
    private long disturbedUntil;
    private boolean down;

    Platform(final SimulatedCluster cluster) {
        this.cluster = cluster;
    }

    /** @param down accepts no report while it is disturbed */
    void disturb(final long durationMs, final boolean down) {
        this.down = down;
        disturbedUntil = Math.max(disturbedUntil, cluster.now() + durationMs);
    }

    long disturbedUntil() {
        return disturbedUntil;
    }

    void post(final SimulatedProcess from, final Action.Post post) {
        checkCommitted(from, post);
        final long incarnation = from.incarnation;
        final boolean disturbed = cluster.now() < disturbedUntil;
        final int behaviour = !disturbed ? 3 : down ? 0 : cluster.random.nextInt(4);
        final long delay = disturbed && behaviour != 0 ? 2_000 + cluster.random.nextInt(3_000) : 5;
        cluster.at(cluster.now() + delay, () -> {
            // 0: fails before it accepts the report; 1: accepts it, the response is lost; 2: accepts it late; 3: works
            if (behaviour != 0) {
                recordReport(post);
            }
            final PostOutcome outcome =
                    behaviour == 0 ? PostOutcome.FAILED : behaviour == 1 ? PostOutcome.UNKNOWN : PostOutcome.ACCEPTED;
            if (from.alive && from.incarnation == incarnation) {
                from.request(new NodeRequest.Posted(post.requestId(), outcome));
            }
        });
    }

    /** Checks that a posted total is committed in the control log, so that a new leader cannot compute another. */
    private void checkCommitted(final SimulatedProcess from, final Action.Post post) {
        final ControllerNode controller = (ControllerNode) from.node;
        final long window = Long.parseLong(post.key());
        for (final ControlState.Window w : ((ControlState) controller.group().live()).windows()) {
            if (w.window() == window && w.index() <= controller.group().committed()) {
                return;
            }
        }
        cluster.history.violation(
                cluster.now(),
                "node " + from.id + " posts " + post.key() + " before the total is committed in its log");
    }

    private void recordReport(final Action.Post post) {
        cluster.count("usage posts");
        try (var rd = Json.createReader(new ByteArrayInputStream(post.json().getBytes(UTF_8)))) {
            final var obj = rd.readObject();
            final long end = obj.getJsonNumber("windowEndMs").longValue();
            obj.getJsonArray("tenants")
                    .getValuesAs(JsonObject.class)
                    .forEach(t -> cluster.history.usage.reported(
                            cluster.now(),
                            t.getString("tenant"),
                            end - SimulatedCluster.WALL_CLOCK_START_MS,
                            t.getJsonNumber("publishes").longValue(),
                            t.getJsonNumber("bytes").longValue(),
                            t.getBoolean("late")));
        }
    }

    /** Checks every second that reports are in time and that all controllers agree on each window's total. */
    void watch() {
        final long exemptUntil = Math.max(disturbedUntil, cluster.outages.noControlUntil());
        cluster.history.usage.checkInTime(
                cluster.now(),
                cluster.callers.tenants(),
                cluster.timing.windowMs(),
                Math.min(exemptUntil, cluster.now()));
        for (final int id : cluster.controllers) {
            if (cluster.processes.get(id).alive
                    && cluster.processes.get(id).node instanceof ControllerNode controller) {
                for (final ControlState.Window w :
                        ((ControlState) controller.group().live()).windows()) {
                    final long end =
                            (w.window() + 1) * cluster.timing.windowMs() - SimulatedCluster.WALL_CLOCK_START_MS;
                    if (w.index() <= controller.group().committed()) {
                        w.used()
                                .forEach(u -> cluster.history.usage.checkTotal(
                                        cluster.now(), "node " + id, u.tenant(), end, u.publishes(), u.bytes()));
                    }
                }
            }
        }
        cluster.at(cluster.now() + 1_000, this::watch);
    }

    void settle() {
        for (final String tenant : cluster.callers.tenants()) {
            cluster.history.usage.settle(
                    cluster.now(), tenant, s -> Callers.tenantOf(s.sender).equals(tenant));
        }
    }
}
