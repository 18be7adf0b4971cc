package brookpath.testing;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.action.Actions;
import brookpath.coordination.message.PeerMessage;
import brookpath.coordination.message.PeerMessage.HeartbeatEntry;
import brookpath.coordination.node.Node;
import brookpath.coordination.node.NodeRequest;
import brookpath.transport.identity.ProcessIdentity;
import brookpath.transport.loop.Host;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;

/** A node without peers and without a disk whose behaviour is scripted by a test. */
final class ScriptedNode extends Node {
    private static final int NUMBER = 1;

    private final BiConsumer<NodeRequest, Actions> script;

    /** @param script adds the actions that a request causes; called on the state thread */
    ScriptedNode(final BiConsumer<NodeRequest, Actions> script) {
        super(NUMBER, TimingBounds.DEFAULT);
        this.script = script;
    }

    /** Starts a process that runs this node; the caller must close it. */
    Host start() {
        final Host host = new Host(
                this,
                new ProcessIdentity(NUMBER, 1, 1),
                TimingBounds.DEFAULT,
                null,
                node -> Map.of(),
                () -> Long.MAX_VALUE,
                post -> CompletableFuture.failedFuture(
                        new IllegalStateException("unexpected post: scripted nodes post nothing")),
                1,
                () -> {});
        host.start(List.of());
        return host;
    }

    @Override
    protected void onRequest(final NodeRequest request, final Time time) {
        script.accept(request, out);
    }

    @Override
    protected void onTick(final Time time) {
        // Only requests cause actions.
    }

    @Override
    protected void onMessage(final int from, final PeerMessage message, final Time time) {
        throw new IllegalStateException("unexpected message: a scripted node has no peers");
    }

    @Override
    protected void onSynced(final long number, final Time time) {
        throw new IllegalStateException("unexpected entry: a scripted node has no disk");
    }

    @Override
    public void replay(final byte[] entry, final Time time) {
        throw new IllegalStateException("unexpected entry: a scripted node has no disk");
    }

    @Override
    public List<HeartbeatEntry> entries(final Time time) {
        return List.of();
    }

    @Override
    public Set<Integer> heartbeatPeers() {
        return Set.of();
    }

    @Override
    public String statusJson(final Time time) {
        return "{}";
    }

    @Override
    public Map<Integer, String> zones() {
        return Map.of();
    }
}
