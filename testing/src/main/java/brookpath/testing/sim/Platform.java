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
 * Stand-in for the users' platform: takes usage reports, and can be slow, fail, or hear a report whose sender never
 * hears back.
 */
public final class Platform {
    private final SimulatedCluster cluster;
    private long disturbedUntil;
    private boolean down;

    Platform(final SimulatedCluster cluster) {
        this.cluster = cluster;
    }

    /** @param down takes nothing at all meanwhile */
    void disturb(final long forMs, final boolean down) {
        this.down = down;
        disturbedUntil = Math.max(disturbedUntil, cluster.now() + forMs);
    }

    long disturbedUntil() {
        return disturbedUntil;
    }

    void post(final SimulatedProcess from, final Action.Post post) {
        logged(from, post);
        final long incarnation = from.incarnation;
        final boolean disturbed = cluster.now() < disturbedUntil;
        final int kind = !disturbed ? 3 : down ? 0 : cluster.random.nextInt(4);
        final long delay = disturbed && kind != 0 ? 2_000 + cluster.random.nextInt(3_000) : 5;
        cluster.at(cluster.now() + delay, () -> {
            // why: 0 fails before it takes the report, 1 and 2 take it and the response is lost or late, 3 works
            if (kind != 0) {
                take(post);
            }
            final PostOutcome outcome =
                    kind == 0 ? PostOutcome.FAILED : kind == 1 ? PostOutcome.UNKNOWN : PostOutcome.ACCEPTED;
            if (from.alive && from.incarnation == incarnation) {
                from.request(new NodeRequest.Posted(post.requestId(), outcome));
            }
        });
    }

    /** What is posted is in the control log and committed there: a successor must not be able to total anew. */
    private void logged(final SimulatedProcess from, final Action.Post post) {
        final ControllerNode b = (ControllerNode) from.node;
        final long window = Long.parseLong(post.key());
        for (final ControlState.Window w : ((ControlState) b.group().live()).windows()) {
            if (w.window() == window && w.index() <= b.group().committed()) {
                return;
            }
        }
        cluster.history.violation(
                cluster.now(), "node " + from.id + " posts " + post.key() + " before its log has accepted the total");
    }

    private void take(final Action.Post post) {
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

    /** Every so often: reports are checkInTime, and every controller that knows a window's total knows the same. */
    void watch() {
        final long excused = Math.max(disturbedUntil, cluster.outages.noControlUntil());
        cluster.history.usage.checkInTime(
                cluster.now(), cluster.callers.tenants(), cluster.timing.windowMs(), Math.min(excused, cluster.now()));
        for (final int id : cluster.controllers) {
            if (cluster.processes.get(id).alive && cluster.processes.get(id).node instanceof ControllerNode b) {
                for (final ControlState.Window w : ((ControlState) b.group().live()).windows()) {
                    final long end =
                            (w.window() + 1) * cluster.timing.windowMs() - SimulatedCluster.WALL_CLOCK_START_MS;
                    if (w.index() <= b.group().committed()) {
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
