package brookpath.transport.loop;

import static java.util.concurrent.TimeUnit.MILLISECONDS;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.action.Action;
import brookpath.coordination.action.Actions;
import brookpath.coordination.heartbeat.HeartbeatMonitor;
import brookpath.coordination.heartbeat.HeartbeatTable;
import brookpath.coordination.heartbeat.StatusHandoff;
import brookpath.coordination.message.PeerMessage;
import brookpath.coordination.message.Response;
import brookpath.coordination.node.Node;
import brookpath.coordination.node.Node.Time;
import brookpath.coordination.node.NodeRequest;
import brookpath.coordination.node.usage.PostOutcome;
import brookpath.state.wal.WriteAheadLog;
import brookpath.transport.identity.ProcessIdentity;
import brookpath.transport.identity.RandomNumbers;
import brookpath.transport.wire.Wire;
import jakarta.json.Json;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.tinylog.Logger;

/**
 * Runs one {@link Node} for real: the state thread asks it, and obeys. The replication listener thread owns the
 * heartbeats, the disk thread the write-ahead log, Netty's and Jetty's threads the traffic.
 */
public final class Host implements Wire.Inbox, AutoCloseable {
    /** Beyond this many events in wait no caller's request is taken; beyond some times that, a peer's session ends. */
    private static final int MAX_EVENTS = 8_192;

    private static final int MAX_PEER_EVENTS = 4 * MAX_EVENTS;
    private static final int MAX_REQUESTS = 8_192;
    private static final int MAX_HEARTBEATS = 1_024;
    private static final int SCRUB = 5;

    private record Heard(int from, PeerMessage.Heartbeat heartbeat) {}

    /** Nothing was heard, but a round of heartbeats is wanted. */
    private static final Heard NONE = new Heard(0, null);
    /** The table says something new. */
    private static final Event TICK = (n, time) -> List.of();

    private interface Event {
        List<Action> on(Node node, Time time);
    }

    /** Sends a usage report to the platform; nothing waits for it. */
    public interface Poster {
        CompletableFuture<PostOutcome> accept(Action.Post post);
    }

    /** A listening session's end on the traffic side. */
    public interface Sink {
        /** False when its queue is full: the session is ended, its cursors good. */
        boolean offer(Action.ToSession what);

        void close(String why);
    }

    private final Node node;
    private final TimingBounds timing;
    private final WriteAheadLog writeAheadLog;
    private final Wire wire;
    private final Runnable fatal;
    private final Poster poster;
    private final BlockingQueue<Event> events = new LinkedBlockingQueue<>();
    private final BlockingQueue<Action> writes = new LinkedBlockingQueue<>();
    private final BlockingQueue<Heard> heartbeatInbox = new LinkedBlockingQueue<>();
    private final LongAdder refused = new LongAdder();
    private final Map<Long, CompletableFuture<Response>> requests = new ConcurrentHashMap<>();
    private final Map<Long, Sink> sinks = new ConcurrentHashMap<>();
    private final AtomicLong requestIds;
    private final AtomicBoolean tickQueued = new AtomicBoolean();
    private final List<Thread> threads = new ArrayList<>();
    private final Function<Node, Map<Integer, String>> addresses;
    private final LongSupplier leaseUntil;
    private volatile HeartbeatTable table = HeartbeatTable.EMPTY;
    private final StatusHandoff status = new StatusHandoff();
    private volatile Set<Integer> peers = Set.of();
    private volatile long leaseSnapshot = Long.MAX_VALUE;
    private volatile Map<Integer, String> zones = Map.of();
    private long nextZones;
    private volatile boolean closed;
    private Map<Integer, String> dialled = Map.of();

    /**
     * @param self who this process is, as others are told
     * @param writeAheadLog null where the machine has no disk
     * @param addresses whom the node wants sessions with
     * @param leaseUntil until when lines may be delivered
     * @param threads that carry the traffic between peers
     */
    public Host(
            final Node node,
            final ProcessIdentity self,
            final TimingBounds timing,
            final WriteAheadLog writeAheadLog,
            final Function<Node, Map<Integer, String>> addresses,
            final LongSupplier leaseUntil,
            final Poster poster,
            final int threads,
            final Runnable fatal) {
        this.node = node;
        this.timing = timing;
        this.writeAheadLog = writeAheadLog;
        this.addresses = addresses;
        this.leaseUntil = leaseUntil;
        this.fatal = fatal;
        this.poster = poster;
        // why: never the same as in a former life of this process, however its clock was stepped
        requestIds = new AtomicLong(RandomNumbers.firstId());
        wire = new Wire(self, this, timing.heartbeat() / 2, 3 * timing.deliverMs() / 2, threads);
    }

    /** Bytes per zone of the other side; "?" for peers whose zone this process does not know. */
    public String wireJson() {
        final Map<Integer, String> known = zones;
        final TreeMap<String, long[]> perZone = new TreeMap<>();
        wire.bytesOut()
                .forEach((n, b) -> perZone.computeIfAbsent(known.getOrDefault(n, "?"), k -> new long[2])[0] += b.sum());
        wire.bytesIn()
                .forEach((n, b) -> perZone.computeIfAbsent(known.getOrDefault(n, "?"), k -> new long[2])[1] += b.sum());
        final var obj = Json.createObjectBuilder();
        perZone.forEach((zone, n) ->
                obj.add(zone, Json.createObjectBuilder().add("out", n[0]).add("in", n[1])));
        return Json.createObjectBuilder()
                .add("malformedFrames", wire.malformed())
                .add("wrongNodes", wire.wrongNodes())
                .add("bytesPerZone", obj)
                .build()
                .toString();
    }

    /** What waits just now, and how many requests were refused for it. */
    public String queuesJson() {
        return "{\"events\":" + events.size() + ",\"jobs\":" + requests.size() + ",\"writes\":" + writes.size()
                + ",\"beats\":" + heartbeatInbox.size() + ",\"sessions\":" + sinks.size() + ",\"refusedBusy\":"
                + refused.sum() + "}";
    }

    public Wire wire() {
        return wire;
    }

    public static Time time() {
        return new Time(System.nanoTime() / 1_000_000, System.currentTimeMillis());
    }

    /** Asked right before each line goes out, so that a process that slept past its lease delivers nothing. */
    public boolean mayDeliver() {
        return time().mono() < leaseSnapshot;
    }

    public void start(final List<Action> first) {
        obey(first);
        thread("state", this::stateLoop);
        thread("replication-listener", this::heartbeatLoop);
        if (writeAheadLog != null) {
            thread("disk", this::diskLoop);
        }
    }

    private void thread(final String name, final Runnable body) {
        final Thread th = new Thread(
                () -> {
                    try {
                        body.run();
                    } catch (final Throwable ex) {
                        if (!closed) {
                            Logger.error(ex, "thread {} failed", name);
                            fatal.run();
                        }
                    }
                },
                name);
        th.setDaemon(true);
        threads.add(th);
        th.start();
    }

    // ---- from the traffic threads

    public long nextRequestId() {
        return requestIds.incrementAndGet();
    }

    public CompletableFuture<Response> submit(final long requestId, final NodeRequest request) {
        if (events.size() > MAX_EVENTS || requests.size() > MAX_REQUESTS) {
            // why: refused here nothing has begun, so it is certain and costs the state thread nothing
            refused.increment();
            sinks.remove(requestId);
            return CompletableFuture.completedFuture(new Response(
                    503,
                    timing.retryAfterMs(),
                    "{\"outcome\":\"refused\",\"code\":\"busy\",\"why\":\"this node has more to do than it can\"}"));
        }
        final CompletableFuture<Response> response = new CompletableFuture<>();
        requests.put(requestId, response);
        events.add((n, time) -> n.request(request, time));
        return response;
    }

    /** A request that nobody waits for. */
    public void tell(final NodeRequest request) {
        events.add((n, time) -> n.request(request, time));
    }

    public CompletableFuture<Response> subscribe(final long sessionId, final NodeRequest request, final Sink sink) {
        sinks.put(sessionId, sink);
        return submit(sessionId, request);
    }

    public void unsubscribe(final long sessionId) {
        sinks.remove(sessionId);
        tell(new NodeRequest.Unsubscribe(sessionId));
    }

    @Override
    public void frame(final int from, final PeerMessage message) {
        if (message instanceof PeerMessage.Heartbeat heartbeat) {
            if (heartbeatInbox.size() > MAX_HEARTBEATS) {
                // why: an old heartbeat says nothing that a newer one does not
                heartbeatInbox.poll();
            }
            heartbeatInbox.add(new Heard(from, heartbeat));
        } else if (events.size() > MAX_PEER_EVENTS) {
            // why: what is lost with the session is asked again or unsettled, as with any broken session; what is
            // merely dropped would be waited for
            wire.hangUp(from);
        } else {
            events.add((n, time) -> n.message(from, message, time));
        }
    }

    @Override
    public void sessionUp(final int node) {
        // why: whoever was away is heard at once, and hears at once, rather than with the next period
        wantHeartbeat();
    }

    private void wantHeartbeat() {
        if (status.wish()) {
            heartbeatInbox.add(NONE);
        }
    }

    @Override
    public void sessionLost(final int lost) {
        events.add((n, time) -> n.sessionLost(lost, time));
    }

    // ---- the threads

    private void stateLoop() {
        long nextTick = 0;
        while (!closed) {
            try {
                final long wait = nextTick - time().mono();
                final Event ev = wait <= 0 ? events.poll() : events.poll(wait, MILLISECONDS);
                final HeartbeatTable newest = table;
                final Time time = time();
                if (ev == TICK) {
                    tickQueued.set(false);
                }
                if (ev == TICK || time.mono() >= nextTick) {
                    // why: the table that a vote looks at is the newest there is
                    obey(node.tick(time, newest));
                    look();
                    nextTick = time.mono() + node.restMs(time);
                }
                if (ev != null && ev != TICK) {
                    obey(ev.on(node, time()));
                    nextTick = Math.min(nextTick, time.mono() + node.restMs(time));
                }
            } catch (final InterruptedException ex) {
                return;
            }
        }
    }

    /** Whom the node wants to hear of; looked at with each timer, not with each event. */
    private void look() {
        if (time().mono() >= nextZones) {
            nextZones = time().mono() + timing.keepAlive();
            zones = node.zones();
        }
        final Map<Integer, String> wanted = addresses.apply(node);
        if (!wanted.equals(dialled)) {
            dialled = wanted;
            wanted.forEach(wire::dial);
        }
        final Set<Integer> newPeers = node.heartbeatPeers();
        if (!newPeers.equals(peers)) {
            peers = newPeers;
        }
    }

    private void obey(final List<Action> actions) {
        status.publish(node.entries(time()));
        leaseSnapshot = leaseUntil.getAsLong();
        for (final Action action : actions) {
            if (action instanceof Action.Send a) {
                if (!wire.send(a.node(), a.message())) {
                    events.add((n, time) -> n.unsent(a.node(), a.message(), time));
                }
            } else if (action instanceof Action.Write || action instanceof Action.Roll) {
                writes.add(action);
            } else if (action instanceof Action.HeartbeatNow) {
                wantHeartbeat();
            } else if (action instanceof Action.Respond a) {
                final CompletableFuture<Response> response = requests.remove(a.requestId());
                if (response != null) {
                    // why: this process may have been stopped between the decision and this moment
                    response.complete(a.response().at(time().mono()));
                }
            } else if (action instanceof Action.Post a) {
                poster.accept(a)
                        .exceptionally(ex -> PostOutcome.UNKNOWN)
                        .thenAccept(outcome -> events.add(
                                (n, time) -> n.request(new NodeRequest.Posted(a.requestId(), outcome), time)));
            } else if (action instanceof Action.CloseSession a) {
                final Sink sink = sinks.remove(a.sessionId());
                if (sink != null) {
                    sink.close(a.why());
                }
            } else if (action instanceof Action.ToSession a) {
                final Sink sink = sinks.get(a.sessionId());
                if (sink != null && !sink.offer(a)) {
                    sink.close("too slow: the waitlist is full");
                    unsubscribe(a.sessionId());
                }
            } else if (action instanceof Action.Note a) {
                if (a.grave()) {
                    Logger.error(a.text());
                } else {
                    Logger.info(a.text());
                }
            }
        }
    }

    @SuppressWarnings("ReferenceEquality") // why: NONE is one object, and only means that the listener is woken
    private void heartbeatLoop() {
        final HeartbeatMonitor machine = new HeartbeatMonitor(timing, node.heartbeatPeriod(), node.promises());
        final Actions out = new Actions();
        Set<Integer> known = Set.of();
        while (!closed) {
            try {
                final long wait = machine.nextRound() - time().mono();
                final Heard heard = wait <= 0 ? heartbeatInbox.poll() : heartbeatInbox.poll(wait, MILLISECONDS);
                final long now = time().mono();
                boolean news = false;
                if (peers != known) {
                    known = peers;
                    machine.peers(known);
                }
                final boolean heartbeatWished = status.takeWish();
                machine.own(status.entries());
                if (heard != null && heard != NONE) {
                    news = machine.onHeartbeat(heard.from, heard.heartbeat, now, out);
                    // why: the state thread must see a heartbeat before its sender is told that it was heard
                    table = machine.table();
                }
                news |= machine.tick(now, out);
                if (heartbeatWished) {
                    machine.heartbeatNow(now, out);
                }
                table = machine.table();
                out.drain().forEach(a -> {
                    if (a instanceof Action.Send s) {
                        wire.send(s.node(), s.message());
                    }
                });
                if (news && tickQueued.compareAndSet(false, true)) {
                    events.add(TICK);
                }
            } catch (final InterruptedException ex) {
                return;
            }
        }
    }

    private void diskLoop() {
        final DiskWriter writer = new DiskWriter(writeAheadLog);
        final List<Action> batch = new ArrayList<>();
        long nextScrub = time().mono() + SCRUB * timing.recoverMs();
        long nextSnapshot = Long.MAX_VALUE;
        boolean full = false;
        while (!closed) {
            try {
                batch.clear();
                final Action first = full ? null : writes.poll(timing.recoverMs() / 4, MILLISECONDS);
                final long now = time().mono();
                if (now >= nextScrub) {
                    // why: what went bad on the disk is to be found while the copy in memory is still there
                    nextScrub = now + SCRUB * timing.recoverMs();
                    if (!writeAheadLog.whole()) {
                        events.add(Node::damaged);
                    }
                }
                if (now >= nextSnapshot) {
                    nextSnapshot = Long.MAX_VALUE;
                    events.add(Node::snapshotRefused);
                }
                if (first == null && !full) {
                    continue;
                }
                if (first != null) {
                    batch.add(first);
                }
                writes.drainTo(batch);
                writer.add(batch);
                full = reportFull(full, !writer.write());
                if (writer.takeSnapshotRefused()) {
                    Logger.warn("no room for a snapshot: the segment goes on");
                    nextSnapshot = now + timing.recoverMs() / 4;
                }
                final long synced = writer.sync();
                events.add((n, time) -> n.synced(synced, time));
                if (full) {
                    Thread.sleep(timing.diskPause());
                }
            } catch (final InterruptedException ex) {
                return;
            }
        }
    }

    private static boolean reportFull(final boolean was, final boolean is) {
        if (is && !was) {
            Logger.warn("the disk is full: writes wait and are tried again");
        } else if (was && !is) {
            Logger.info("the disk has room again");
        }
        return is;
    }

    @Override
    public void close() {
        closed = true;
        threads.forEach(Thread::interrupt);
        wire.close();
        sinks.values().forEach(s -> s.close("this node stops"));
    }
}
