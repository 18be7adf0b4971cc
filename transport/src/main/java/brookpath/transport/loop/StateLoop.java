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
 * The state thread, which owns the node: applies events and ticks to it one at a time and executes the resulting
 * actions.
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
    private Map<Integer, String> dialledAddresses = Map.of();
    private long nextTickMs;
    private long nextZoneUpdateMs;

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

    /** Whether lines may be delivered now. Any thread may call it. */
    boolean mayDeliver() {
        return SystemClock.monotonicMs() < leaseUntilMs;
    }

    /** Completes, on the state thread, once lines may be delivered for the first time. Any thread may call it. */
    CompletableFuture<Void> firstLease() {
        return firstLease;
    }

    /** The zones of the known nodes by node number. Any thread may call it. */
    Map<Integer, String> zones() {
        return zones;
    }

    /** Executes actions of the node. To be called on the state thread, or before it has started. */
    void execute(final List<Action> actions) {
        heartbeats.publish(node.entries(SystemClock.now()), node.historyFull());
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

    /** @param event null if none arrived before the next tick was due */
    private void step(final EventQueue.Event event) {
        final HeartbeatTable newest = heartbeats.table();
        final Time time = SystemClock.now();
        final boolean tickRequested = events.takeTick(event);
        if (tickRequested || time.mono() >= nextTickMs) {
            // A vote must be decided on the newest table of heartbeats.
            execute(node.tick(time, newest));
            updateConnections();
            nextTickMs = time.mono() + node.maxTickDelayMs(time);
        }
        if (event != null && !tickRequested) {
            execute(event.apply(node, SystemClock.now()));
            nextTickMs = Math.min(nextTickMs, time.mono() + node.maxTickDelayMs(time));
        }
    }

    /** Updates the peers of sessions and of heartbeats. Done at each tick rather than at each event, to save work. */
    private void updateConnections() {
        final long nowMs = SystemClock.monotonicMs();
        if (nowMs >= nextZoneUpdateMs) {
            nextZoneUpdateMs = nowMs + timing.keepAlive();
            zones = node.zones();
        }
        final Map<Integer, String> wanted = addresses.apply(node);
        if (!wanted.equals(dialledAddresses)) {
            dialledAddresses = wanted;
            wanted.forEach(wire::dial);
        }
        heartbeats.setPeers(node.heartbeatPeers());
    }
}
