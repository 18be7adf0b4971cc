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
    private final SimulatedCluster world;
    private long troubleUntil;
    private boolean down;

    Platform(final SimulatedCluster world) {
        this.world = world;
    }

    /** @param down takes nothing at all meanwhile */
    void trouble(final long forMs, final boolean down) {
        this.down = down;
        troubleUntil = Math.max(troubleUntil, world.now() + forMs);
    }

    long troubleUntil() {
        return troubleUntil;
    }

    void post(final SimulatedProcess from, final Action.Post post) {
        logged(from, post);
        final long life = from.life;
        final boolean trouble = world.now() < troubleUntil;
        final int kind = !trouble ? 3 : down ? 0 : world.random.nextInt(4);
        final long delay = trouble && kind != 0 ? 2_000 + world.random.nextInt(3_000) : 5;
        world.at(world.now() + delay, () -> {
            // why: 0 fails before it takes the report, 1 and 2 take it and the response is lost or late, 3 works
            if (kind != 0) {
                take(post);
            }
            final PostOutcome outcome =
                    kind == 0 ? PostOutcome.FAILED : kind == 1 ? PostOutcome.UNKNOWN : PostOutcome.ACCEPTED;
            if (from.alive && from.life == life) {
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
        world.history.violation(
                world.now(), "node " + from.id + " posts " + post.key() + " before its log has accepted the total");
    }

    private void take(final Action.Post post) {
        world.count("usage posts");
        try (var rd = Json.createReader(new ByteArrayInputStream(post.json().getBytes(UTF_8)))) {
            final var obj = rd.readObject();
            final long end = obj.getJsonNumber("windowEndMs").longValue();
            obj.getJsonArray("tenants")
                    .getValuesAs(JsonObject.class)
                    .forEach(t -> world.history.usage.reported(
                            world.now(),
                            t.getString("tenant"),
                            end - SimulatedCluster.WALL,
                            t.getJsonNumber("publishes").longValue(),
                            t.getJsonNumber("bytes").longValue(),
                            t.getBoolean("late")));
        }
    }

    /** Every so often: reports are punctual, and every controller that knows a window's total knows the same. */
    void watch() {
        final long excused = Math.max(troubleUntil, world.wellness.noControlUntil());
        world.history.usage.punctual(
                world.now(), world.callers.tenants(), world.timing.windowMs(), Math.min(excused, world.now()));
        for (final int id : world.controllers) {
            if (world.processes.get(id).alive && world.processes.get(id).node instanceof ControllerNode b) {
                for (final ControlState.Window w : ((ControlState) b.group().live()).windows()) {
                    final long end = (w.window() + 1) * world.timing.windowMs() - SimulatedCluster.WALL;
                    if (w.index() <= b.group().committed()) {
                        w.used()
                                .forEach(u -> world.history.usage.agrees(
                                        world.now(), "node " + id, u.tenant(), end, u.publishes(), u.bytes()));
                    }
                }
            }
        }
        world.at(world.now() + 1_000, this::watch);
    }

    void settle() {
        for (final String tenant : world.callers.tenants()) {
            world.history.usage.settle(
                    world.now(), tenant, s -> Callers.tenantOf(s.sender).equals(tenant));
        }
    }
}
