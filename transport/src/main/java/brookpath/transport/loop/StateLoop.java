package brookpath.transport.loop;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.action.Action;
import brookpath.coordination.heartbeat.HeartbeatTable;
import brookpath.coordination.node.Node;
import brookpath.coordination.node.Node.Time;
import brookpath.transport.wire.Wire;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.LongSupplier;

/**
 * The state thread, which owns the node: applies events and ticks to it one by one and executes the actions that
 * result.
 */
final class StateLoop implements Runnable {
    private final Node node;
    private final TimingBounds timing;
    private final Wire wire;
    private final EventQueue events;
    private final HeartbeatLoop heartbeats;
    private final ActionExecutor executor;
    private final LoopThreads threads;
    private final Function<Node, Map<Integer, String>> addresses;
    private final LongSupplier leaseUntil;
    /** Completed once the node first holds the lease that permits delivery. */
    private final CompletableFuture<Void> firstLease = new CompletableFuture<>();

    private volatile long leaseUntilMs = Long.MAX_VALUE;
    private volatile Map<Integer, String> zones = Map.of();
    private Map<Integer, String> dialled = Map.of();
    private long nextTickMs;
    private long nextZonesMs;

    StateLoop(
            final Node node,
            final TimingBounds timing,
            final Wire wire,
            final EventQueue events,
            final HeartbeatLoop heartbeats,
            final ActionExecutor executor,
            final LoopThreads threads,
            final Function<Node, Map<Integer, String>> addresses,
            final LongSupplier leaseUntil) {
        this.node = node;
        this.timing = timing;
        this.wire = wire;
        this.events = events;
        this.heartbeats = heartbeats;
        this.executor = executor;
        this.threads = threads;
        this.addresses = addresses;
        this.leaseUntil = leaseUntil;
    }

    /** Any thread: whether lines may be delivered now. */
    boolean mayDeliver() {
        return SystemClock.monotonicMs() < leaseUntilMs;
    }

    /** Any thread: completes, on the state thread, once lines may be delivered for the first time. */
    CompletableFuture<Void> firstLease() {
        return firstLease;
    }

    /** Any thread: the zones of the nodes that are known. */
    Map<Integer, String> zones() {
        return zones;
    }

    /** On the state thread, or before it has started. */
    void execute(final List<Action> actions) {
        heartbeats.publish(node.entries(SystemClock.now()));
        leaseUntilMs = leaseUntil.getAsLong();
        if (!firstLease.isDone() && mayDeliver()) {
            firstLease.complete(null);
        }
        executor.execute(actions);
    }

    @Override
    public void run() {
        try {
            while (!threads.closed()) {
                step(events.poll(nextTickMs - SystemClock.monotonicMs()));
            }
        } catch (final InterruptedException ex) {
            Thread.currentThread().interrupt();
        }
    }

    /** @param event null where the timer ran out */
    private void step(final EventQueue.Event event) {
        final HeartbeatTable newest = heartbeats.table();
        final Time time = SystemClock.now();
        final boolean tickRequested = events.takeTick(event);
        if (tickRequested || time.mono() >= nextTickMs) {
            // why: a vote must be decided on the newest table there is
            execute(node.tick(time, newest));
            updateConnections();
            nextTickMs = time.mono() + node.maxTickDelayMs(time);
        }
        if (event != null && !tickRequested) {
            execute(event.apply(node, SystemClock.now()));
            nextTickMs = Math.min(nextTickMs, time.mono() + node.maxTickDelayMs(time));
        }
    }

    /** Updates the nodes to have sessions and heartbeats with; at each tick rather than each event, to save work. */
    private void updateConnections() {
        final long nowMs = SystemClock.monotonicMs();
        if (nowMs >= nextZonesMs) {
            nextZonesMs = nowMs + timing.keepAlive();
            zones = node.zones();
        }
        final Map<Integer, String> wanted = addresses.apply(node);
        if (!wanted.equals(dialled)) {
            dialled = wanted;
            wanted.forEach(wire::dial);
        }
        heartbeats.peers(node.heartbeatPeers());
    }
}
