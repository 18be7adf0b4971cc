package brookpath.testing.sim;

import static java.nio.charset.StandardCharsets.UTF_8;

import brookpath.coordination.action.Action;
import brookpath.coordination.configuration.Configuration;
import brookpath.coordination.message.Response;
import brookpath.coordination.node.NodeRequest;
import brookpath.coordination.placement.Placement;
import jakarta.json.Json;
import jakarta.json.JsonObject;
import java.io.ByteArrayInputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.LongFunction;

/** Simulated publishers and subscribers, which see only what a client sees over HTTP. */
public final class Callers {
    static final long REQUEST_TIMEOUT_MS = 3_000;
    static final long RETENTION_MS = 30_000;
    private static final long MAX_DISCONNECTED_MS = 20_000;
    static final String[] SPACES = {"permits", "closures", "clues"};
    /** Tenants whose keys operators revoke and restore; half of the sessions use the key of the second. */
    static final List<String> REVOCABLE_TENANTS = List.of("guest", "half");

    private final SimulatedCluster cluster;
    private final Map<Long, Consumer<Response>> waiting = new HashMap<>();
    private final Map<Long, Integer> requestAt = new HashMap<>();
    final Map<Long, Subscriber> sessions = new TreeMap<>();
    private final List<Subscriber> subscribers = new ArrayList<>();
    final DeliveryLatencyOracle deliveryLatency;
    final AvailabilityOracle availability;
    /** Operators that change the configuration while these callers run. */
    final DayOperators operators;

    private long requestIds;
    /** Is told of every answer before its caller. */
    AnswerObserver answers = (from, requestId, response) -> {};

    boolean quiet;

    Callers(final SimulatedCluster cluster) {
        this.cluster = cluster;
        deliveryLatency = new DeliveryLatencyOracle(cluster, this);
        availability = new AvailabilityOracle(cluster);
        operators = new DayOperators(cluster, this);
        cluster.at(1_000, this::checkListeners);
        cluster.at(500, this::probeReadiness);
    }

    static boolean oneOrder(final String topic) {
        return topic.startsWith("clues/");
    }

    /** The space of a topic: the part of its name before the slash, unless the document sets another prefix. */
    public static String spaceOf(final String topic) {
        return topic.substring(0, topic.indexOf('/'));
    }

    static String topic(final int i) {
        return SPACES[i % SPACES.length] + "/t" + i;
    }

    /** The tenant in a sender's name: "half-7" belongs to "half"; a name without a dash belongs to "members". */
    static String tenantOf(final String sender) {
        return sender.contains("-") ? sender.substring(0, sender.indexOf('-')) : "members";
    }

    /** The tenants that every document names. */
    List<String> tenants() {
        final List<String> list = new ArrayList<>(List.of("members"));
        list.addAll(REVOCABLE_TENANTS);
        for (int i = list.size(); i < cluster.size.tenants(); i++) {
            list.add("tenant" + i);
        }
        return list;
    }

    /** Actions for sessions that join their topics one by one, in order. */
    final List<Action.ToSession> sessionActions = new ArrayList<>();

    /** Whether connections take nothing more: what is delivered stays in their queues. */
    boolean holdsDeliveries;

    private final List<Runnable> heldFlushes = new ArrayList<>();

    /** Notifies the gateway at once, or when the connections take deliveries again. */
    void notifyFlushed(final SimulatedProcess gateway, final long sessionId) {
        final Runnable notification = () -> gateway.after(
                0, () -> gateway.run(p -> p.node.request(new NodeRequest.SessionFlushed(sessionId), p.time())));
        if (holdsDeliveries) {
            heldFlushes.add(notification);
        } else {
            notification.run();
        }
    }

    /** The connections take what was delivered so far, and what follows only if they no longer hold deliveries. */
    void flushHeld() {
        final List<Runnable> notifications = List.copyOf(heldFlushes);
        heldFlushes.clear();
        notifications.forEach(Runnable::run);
    }

    boolean isOpen(final Subscriber s) {
        return sessions.get(s.sessionId) == s;
    }

    List<Subscriber> listeningTo(final String topic) {
        return subscribers.stream()
                .filter(s -> s.listeningSince >= 0 && s.listener.topics().contains(topic) && isOpen(s))
                .toList();
    }

    int groupOf(final String topic) {
        return Placement.groupOf(topic, new Configuration.Space(spaceOf(topic), 0, oneOrder(topic), 0), cluster.groups);
    }

    private final Map<Integer, String> topicOfGroup = new HashMap<>();

    /** A topic of the group that nobody publishes to. */
    private String topicOfGroup(final int group) {
        return topicOfGroup.computeIfAbsent(group, g -> {
            int i = 0;
            while (groupOf("permits/asked" + i) != g) {
                i++;
            }
            return "permits/asked" + i;
        });
    }

    /** Twice a second, records which entitled subscribers are listening and asks for a listener count per group. */
    private void checkListeners() {
        if (!quiet) {
            for (final Subscriber s : subscribers) {
                if (s.listener.expectsAllMessages && !s.disconnected) {
                    availability.recordRequest("listening", cluster.now(), s.listeningSince >= 0 && isOpen(s));
                }
            }
            for (int g = 0; g < cluster.groups && operators.anyConfirmed(); g++) {
                final long at = cluster.now();
                final String topic = topicOfGroup(g);
                ask(
                        anyGateway(),
                        id -> new NodeRequest.Count(id, "key-members", topic, ""),
                        r -> availability.recordRequest("count in group " + groupOf(topic), at, r.status() == 200));
            }
        }
        cluster.at(cluster.now() + 500, this::checkListeners);
    }

    // ---- answers and deliveries of the processes

    void respond(final SimulatedProcess from, final long requestId, final Response r) {
        answers.answered(from, requestId, r);
        final Consumer<Response> then = waiting.remove(requestId);
        requestAt.remove(requestId);
        if (then != null) {
            cluster.at(cluster.now(), () -> then.accept(r));
        }
    }

    void deliver(final SimulatedProcess from, final long sessionId, final byte[] line) {
        final Subscriber s = sessions.get(sessionId);
        if (s != null) {
            cluster.at(cluster.now(), () -> {
                if (sessions.get(sessionId) == s) {
                    s.line(line);
                }
            });
        }
    }

    void closed(final SimulatedProcess from, final long sessionId, final String why) {
        final Subscriber s = sessions.remove(sessionId);
        if (s != null) {
            cluster.count("sessions closed");
            cluster.at(cluster.now(), () -> s.onClosed(why));
        }
    }

    /** Resets all requests to a process that died, and its sessions. */
    void resetConnections(final SimulatedProcess p) {
        for (final long id : new ArrayList<>(requestAt.keySet())) {
            if (requestAt.get(id) == p.id) {
                respond(p, id, new Response(0, 0, "{\"outcome\":\"reset\"}"));
            }
        }
        for (final long id : new ArrayList<>(sessions.keySet())) {
            if (sessions.get(id) != null && sessions.get(id).gateway == p.id) {
                closed(p, id, "reset");
            }
        }
    }

    /** Breaks about 95 % of the sessions at once. */
    void resetAll() {
        cluster.count("mass resets");
        for (final long id : new ArrayList<>(sessions.keySet())) {
            if (cluster.random.nextInt(20) != 0) {
                final Subscriber s = sessions.get(id);
                cluster.processes.get(s.gateway).request(new NodeRequest.Unsubscribe(id));
                closed(cluster.processes.get(s.gateway), id, "reset");
            }
        }
    }

    long ask(final SimulatedProcess p, final LongFunction<NodeRequest> request, final Consumer<Response> then) {
        final long id = ++requestIds;
        if (!p.alive) {
            cluster.at(cluster.now() + 1, () -> then.accept(new Response(-1, 0, "{}")));
            return id;
        }
        waiting.put(id, then);
        requestAt.put(id, p.id);
        cluster.at(cluster.now() + 1, () -> p.request(request.apply(id)));
        cluster.at(cluster.now() + REQUEST_TIMEOUT_MS, () -> {
            if (requestAt.containsKey(id)) {
                respond(p, id, new Response(0, 0, "{\"outcome\":\"timed out\"}"));
            }
        });
        return id;
    }

    /** Drops the answer of a request. */
    void forget(final long requestId) {
        waiting.remove(requestId);
        requestAt.remove(requestId);
    }

    /** A random gateway among those that the platform considers ready; among all if it considers none ready. */
    SimulatedProcess anyGateway() {
        final List<Integer> from = ready.isEmpty() ? cluster.gateways : ready;
        return cluster.processes.get(from.get(cluster.random.nextInt(from.size())));
    }

    /** A random controller that accepts connections. */
    SimulatedProcess anyController() {
        final List<Integer> from = cluster.controllers.stream()
                .filter(id -> cluster.processes.get(id).alive)
                .toList();
        return cluster.processes.get(from.isEmpty() ? 1 : from.get(cluster.random.nextInt(from.size())));
    }

    private List<Integer> ready = new ArrayList<>();

    /**
     * Probes the gateways as the platform does, which sends no callers to one that does not answer that it is ready.
     */
    private void probeReadiness() {
        final List<Integer> readyNow = new ArrayList<>();
        for (final int id : cluster.gateways) {
            ask(cluster.processes.get(id), NodeRequest.ReadinessProbe::new, r -> {
                if (r.status() == 200) {
                    readyNow.add(id);
                }
            });
        }
        cluster.at(cluster.now() + 250, () -> {
            ready = readyNow;
            probeReadiness();
        });
    }

    static JsonObject json(final String text) {
        try (var rd = Json.createReader(new ByteArrayInputStream(text.getBytes(UTF_8)))) {
            return rd.readObject();
        }
    }

    // ---- publishers

    /** Starts a sender that publishes about every {@code periodMs}, with at most so many attempts for each message. */
    void publisher(
            final String sender, final String topic, final String key, final long periodMs, final int maxAttempts) {
        new Publisher(cluster, this, sender, topic, key, periodMs, maxAttempts).publish(1);
    }

    // ---- subscribers

    void subscriber(final String name, final String key, final List<String> topics) {
        final Subscriber s = new Subscriber(cluster, this, name, key, topics);
        subscribers.add(s);
        s.connect();
        cluster.at(
                cluster.now() + 10_000 + cluster.random.nextLong(30_000),
                () -> s.disconnectTemporarily(MAX_DISCONNECTED_MS, 40_000));
    }

    /** Starts a subscriber that keeps disconnecting and reconnecting. */
    void reconnectingSubscriber(final String name, final String key, final List<String> topics) {
        final Subscriber s = new Subscriber(cluster, this, name, key, topics);
        subscribers.add(s);
        s.connect();
        cluster.at(cluster.now() + 1_000, () -> s.disconnectTemporarily(500, 500));
    }
}
