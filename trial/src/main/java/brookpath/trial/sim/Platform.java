package brookpath.trial.sim;

import static java.nio.charset.StandardCharsets.UTF_8;

import brookpath.coordination.action.Action;
import brookpath.coordination.node.Job;
import jakarta.json.Json;
import java.io.ByteArrayInputStream;

/** Stand-in for the users' platform: takes usage reports, and can be slow, fail, or hear a report whose sender never hears back. */
public final class Platform {
    private final World world;
    private long troubleUntil;
    private long latest;

    Platform(final World world) {
        this.world = world;
    }

    void trouble(final long forMs) {
        troubleUntil = Math.max(troubleUntil, world.now() + forMs);
    }

    /** The longest time from a window's end to a report that came while all was well here. */
    public long latest() {
        return latest;
    }

    void post(final Proc from, final Action.Post post) {
        final long life = from.life;
        final boolean trouble = world.now() < troubleUntil;
        final int kind = trouble ? world.rnd.nextInt(4) : 3;
        final long delay = trouble && kind != 0 ? 2_000 + world.rnd.nextInt(3_000) : 5;
        world.at(world.now() + delay, () -> {
            // why: 0 fails before it takes the report, 1 and 2 take it and the response is lost or late, 3 works
            if (kind != 0) {
                take(post);
            }
            final int status = kind == 0 ? 500 : kind == 1 ? 0 : 200;
            if (from.alive && from.life == life) {
                from.job(new Job.Posted(post.jobId(), status));
            }
        });
    }

    private void take(final Action.Post post) {
        world.count("usage posts");
        try (var rd = Json.createReader(new ByteArrayInputStream(post.json().getBytes(UTF_8)))) {
            final var obj = rd.readObject();
            final long end = obj.getJsonNumber("windowEndMs").longValue();
            world.history.reported(world.now(), obj.getString("tenant"), end, obj.getJsonNumber("publishes").longValue(),
                    obj.getJsonNumber("bytes").longValue());
            latest = Math.max(latest, world.now() + World.WALL - end);
        }
    }

    void settle() {
        world.history.settleUsage(world.now(), "guests", s -> s.sender.equals("guest"));
        world.history.settleUsage(world.now(), "members", s -> !s.sender.equals("guest"));
    }
}
