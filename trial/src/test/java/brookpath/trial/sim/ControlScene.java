package brookpath.trial.sim;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertNotNull;

import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.message.Response;
import brookpath.coordination.node.ControllerNode;
import brookpath.coordination.node.Job;
import brookpath.coordination.spec.ControlState;
import brookpath.coordination.spec.Roster;
import brookpath.state.record.Pack;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** What the staged scenes of the control plane share: a small world in virtual time, and an operator. */
abstract class ControlScene {
    private static final Pattern VERSION = Pattern.compile("\"version\":([0-9]+)");

    World world;

    /** An answer that may not have come yet. */
    static final class Asked {
        final int node;
        final long at;
        Response response;
        long answeredAt;

        Asked(final int node, final long at) {
            this.node = node;
            this.at = at;
        }

        int status() {
            return response == null ? 0 : response.status();
        }

        boolean unclear() {
            return status() <= 0 || status() >= 500;
        }

        @Override
        public String toString() {
            return "node " + node + " asked at " + at + " said at " + answeredAt + ": " + response;
        }
    }

    void begin(final long seed) {
        world = World.serving(seed);
    }

    /** The process that acts as the control master just now, null for none. */
    Proc actingMaster() {
        for (final int id : world.controllers) {
            final Proc p = world.procs.get(id);
            if (p.alive && !p.frozen() && group(p).mayAct(p.mono())) {
                return p;
            }
        }
        return null;
    }

    Proc master() {
        for (int i = 0; i < 1_000 && actingMaster() == null; i++) {
            world.run(world.now() + 10);
        }
        assertNotNull(actingMaster(), "no control master within 10 s");
        return actingMaster();
    }

    /** Members of the control group other than this one. */
    List<Proc> others(final Proc p) {
        final List<Proc> others = new ArrayList<>();
        world.controllers.forEach(id -> {
            if (id != p.id) {
                others.add(world.procs.get(id));
            }
        });
        return others;
    }

    static GroupMachine group(final Proc p) {
        return ((ControllerNode) p.node).group();
    }

    static Roster roster(final Proc p) {
        return ((ControlState) group(p).live()).rosterAt(group(p).accepted());
    }

    void cutFrom(final Proc p) {
        others(p).forEach(o -> world.net.cut(p.id, o.id));
    }

    void cutTo(final Proc p) {
        others(p).forEach(o -> world.net.cut(o.id, p.id));
    }

    /** Asks one process, and goes on without waiting for the answer. */
    Asked ask(final Proc p, final String kind, final byte[] body) {
        final Asked asked = new Asked(p.id, world.now());
        world.callers.asked(p, id -> new Job.Operate(id, kind, body), r -> {
            asked.response = r;
            asked.answeredAt = world.now();
        });
        return asked;
    }

    Asked askSpec(final Proc p) {
        return ask(p, "spec", new byte[0]);
    }

    Asked askChange(final Proc p, final String document) {
        return ask(p, "change", document.getBytes(UTF_8));
    }

    Asked askRetire(final Proc p, final int node) {
        return ask(p, "retire", Pack.writer().num(node).num(1).done());
    }

    Asked askRetireNamed(final Proc p, final String name) {
        return ask(p, "retireNamed", name.getBytes(UTF_8));
    }

    /** Runs the world until the answer is there. */
    Asked answered(final Asked asked) {
        for (int i = 0; i < 800 && asked.response == null; i++) {
            world.run(world.now() + 5);
        }
        assertNotNull(asked.response, "no response within 4 s");
        return asked;
    }

    /** Sends the same change to any node until it gets a final answer. */
    Response settled(final String document, final String changeId) {
        final Response[] got = new Response[1];
        world.callers.operators.change(document, changeId, r -> got[0] = r);
        for (int i = 0; i < 6_000 && got[0] == null; i++) {
            world.run(world.now() + 5);
        }
        assertNotNull(got[0], changeId + " has no final answer within 30 s");
        return got[0];
    }

    String document(final long basedOn, final String changeId) {
        return world.callers.operators.document(basedOn, changeId, true);
    }

    static long version(final Response response) {
        final Matcher m = VERSION.matcher(response.json());
        return m.find() ? Long.parseLong(m.group(1)) : 0;
    }
}
