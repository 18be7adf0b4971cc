package brookpath.testing.sim;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertNotNull;

import brookpath.coordination.controllog.ControlState;
import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.message.ControlRequestKind;
import brookpath.coordination.message.Response;
import brookpath.coordination.metadata.ClusterMetadata;
import brookpath.coordination.node.ControllerNode;
import brookpath.coordination.node.NodeRequest;
import brookpath.state.record.PackedBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Base class of scenario tests of the control plane: a small cluster in virtual time, and an operator. */
abstract class ControlScene {
    private static final Pattern VERSION = Pattern.compile("\"version\":([0-9]+)");

    SimulatedCluster cluster;

    /** A request and its response, which may not have arrived yet. */
    static final class PendingCall {
        final int node;
        final long sentAt;
        Response response;
        long respondedAt;

        PendingCall(final int node, final long sentAt) {
            this.node = node;
            this.sentAt = sentAt;
        }

        int status() {
            return response == null ? 0 : response.status();
        }

        /** Whether there is no response, or one that leaves the outcome open or refuses for the time being. */
        boolean isUnsettled() {
            return status() <= 0 || status() >= 500;
        }

        @Override
        public String toString() {
            return "node " + node + " asked at " + sentAt + " responded at " + respondedAt + ": " + response;
        }
    }

    void begin(final long seed) {
        cluster = ServingCluster.start(seed);
    }

    /** The process that acts as the control leader at present; null if there is none. */
    SimulatedProcess actingLeader() {
        for (final int id : cluster.controllers) {
            final SimulatedProcess p = cluster.processes.get(id);
            if (p.alive && !p.frozen() && group(p).mayAct(p.mono())) {
                return p;
            }
        }
        return null;
    }

    /** Runs the cluster until there is a control leader. */
    SimulatedProcess leader() {
        for (int i = 0; i < 1_000 && actingLeader() == null; i++) {
            cluster.run(cluster.now() + 10);
        }
        assertNotNull(actingLeader(), "no control leader within 10 s");
        return actingLeader();
    }

    /** The members of the control group other than this one. */
    List<SimulatedProcess> others(final SimulatedProcess p) {
        final List<SimulatedProcess> others = new ArrayList<>();
        cluster.controllers.forEach(id -> {
            if (id != p.id) {
                others.add(cluster.processes.get(id));
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

    void cutOutbound(final SimulatedProcess p) {
        others(p).forEach(o -> cluster.net.cut(p.id, o.id));
    }

    void cutInbound(final SimulatedProcess p) {
        others(p).forEach(o -> cluster.net.cut(o.id, p.id));
    }

    /** Sends a request to one process, without waiting for the response. */
    PendingCall ask(final SimulatedProcess p, final String kind, final byte[] body) {
        final PendingCall call = new PendingCall(p.id, cluster.now());
        cluster.callers.ask(p, id -> new NodeRequest.Operate(id, ControlRequestKind.of(kind), body), r -> {
            call.response = r;
            call.respondedAt = cluster.now();
        });
        return call;
    }

    PendingCall askConfiguration(final SimulatedProcess p) {
        return ask(p, "spec", new byte[0]);
    }

    PendingCall askChange(final SimulatedProcess p, final String document) {
        return ask(p, "change", document.getBytes(UTF_8));
    }

    PendingCall askRetire(final SimulatedProcess p, final int node) {
        return ask(p, "retire", PackedBuffer.writer().putLong(node).putLong(1).toByteArray());
    }

    PendingCall askRetireNamed(final SimulatedProcess p, final String name) {
        return ask(p, "retireNamed", name.getBytes(UTF_8));
    }

    /** Runs the cluster until the response is there. */
    PendingCall awaitResponse(final PendingCall call) {
        for (int i = 0; i < 800 && call.response == null; i++) {
            cluster.run(cluster.now() + 5);
        }
        assertNotNull(call.response, "no response within 4 s");
        return call;
    }

    /** Sends the same change to any node until it gets a final response. */
    Response awaitFinalResponse(final String document, final String changeId) {
        final Response[] got = new Response[1];
        cluster.callers.operators.change(document, changeId, r -> got[0] = r);
        for (int i = 0; i < 6_000 && got[0] == null; i++) {
            cluster.run(cluster.now() + 5);
        }
        assertNotNull(got[0], changeId + " has no final response within 30 s");
        return got[0];
    }

    String document(final long basedOn, final String changeId) {
        return cluster.callers.operators.document(basedOn, changeId, true);
    }

    static long version(final Response response) {
        final Matcher m = VERSION.matcher(response.json());
        return m.find() ? Long.parseLong(m.group(1)) : 0;
    }
}
