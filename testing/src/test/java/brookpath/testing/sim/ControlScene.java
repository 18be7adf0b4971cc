package brookpath.testing.sim;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertNotNull;

import brookpath.coordination.controllog.ControlState;
import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.message.Response;
import brookpath.coordination.metadata.ClusterMetadata;
import brookpath.coordination.node.ControllerNode;
import brookpath.coordination.node.NodeRequest;
import brookpath.state.record.PackedBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** What the staged scenes of the control plane share: a small world in virtual time, and an operator. */
abstract class ControlScene {
    private static final Pattern VERSION = Pattern.compile("\"version\":([0-9]+)");

    SimulatedCluster world;

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
        world = SimulatedCluster.serving(seed);
    }

    /** The process that acts as the control leader just now, null for none. */
    SimulatedProcess actingLeader() {
        for (final int id : world.controllers) {
            final SimulatedProcess p = world.processes.get(id);
            if (p.alive && !p.frozen() && group(p).mayAct(p.mono())) {
                return p;
            }
        }
        return null;
    }

    SimulatedProcess leader() {
        for (int i = 0; i < 1_000 && actingLeader() == null; i++) {
            world.run(world.now() + 10);
        }
        assertNotNull(actingLeader(), "no control master within 10 s");
        return actingLeader();
    }

    /** Members of the control group other than this one. */
    List<SimulatedProcess> others(final SimulatedProcess p) {
        final List<SimulatedProcess> others = new ArrayList<>();
        world.controllers.forEach(id -> {
            if (id != p.id) {
                others.add(world.processes.get(id));
            }
        });
        return others;
    }

    static GroupMachine group(final SimulatedProcess p) {
        return ((ControllerNode) p.node).group();
    }

    static ClusterMetadata metadata(final SimulatedProcess p) {
        return ((ControlState) group(p).live()).metadataAt(group(p).committed());
    }

    void cutFrom(final SimulatedProcess p) {
        others(p).forEach(o -> world.net.cut(p.id, o.id));
    }

    void cutTo(final SimulatedProcess p) {
        others(p).forEach(o -> world.net.cut(o.id, p.id));
    }

    /** Asks one process, and goes on without waiting for the answer. */
    Asked ask(final SimulatedProcess p, final String kind, final byte[] body) {
        final Asked asked = new Asked(p.id, world.now());
        world.callers.asked(p, id -> new NodeRequest.Operate(id, kind, body), r -> {
            asked.response = r;
            asked.answeredAt = world.now();
        });
        return asked;
    }

    Asked askConfiguration(final SimulatedProcess p) {
        return ask(p, "spec", new byte[0]);
    }

    Asked askChange(final SimulatedProcess p, final String document) {
        return ask(p, "change", document.getBytes(UTF_8));
    }

    Asked askRetire(final SimulatedProcess p, final int node) {
        return ask(p, "retire", PackedBuffer.writer().num(node).num(1).done());
    }

    Asked askRetireNamed(final SimulatedProcess p, final String name) {
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
