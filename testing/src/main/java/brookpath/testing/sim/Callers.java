package brookpath.testing.sim;

import static java.nio.charset.StandardCharsets.UTF_8;

import brookpath.coordination.action.Action;
import brookpath.coordination.configuration.Configuration;
import brookpath.coordination.message.Response;
import brookpath.coordination.node.NodeRequest;
import brookpath.coordination.placement.Placement;
import brookpath.testing.oracle.History.Sent;
import jakarta.json.Json;
import jakarta.json.JsonObject;
import java.io.ByteArrayInputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/** Stand-in publishers and subscribers. They see only what HTTP would show them. */
public final class Callers {
    static final long PATIENCE = 3_000;
    static final long KEEPING_MS = 30_000;
    private static final long AWAY_MAX = 20_000;
    static final String[] SPACES = {"permits", "closures", "clues"};
    /** Tenants whose keys operators take away and give back; half of the sessions use the second. */
    static final List<String> SHAKY = List.of("guest", "half");

    private final SimulatedCluster world;
    private final Map<Long, Consumer<Response>> waiting = new HashMap<>();
    private final Map<Long, Integer> requestAt = new HashMap<>();
    final Map<Long, Subscriber> sessions = new TreeMap<>();
    private final List<Subscriber> subscribers = new ArrayList<>();
    private final DeliveryLatencyOracle punctual;
    final AvailabilityOracle service;
    /** Who changes the configuration while these callers are about. */
    final DayOperators operators;

    private long requestIds;
    /** Sees every answer before its caller does. */
    AnswerObserver answers = (from, requestId, response) -> {};

    boolean quiet;

    Callers(final SimulatedCluster world) {
        this.world = world;
        punctual = new DeliveryLatencyOracle(world, this);
        service = new AvailabilityOracle(world);
        operators = new DayOperators(world, this);
        world.at(1_000, this::roll);
        world.at(500, this::lookForReady);
    }

    static boolean oneOrder(final String topic) {
        return topic.startsWith("clues/");
    }

    /** The space's name, which is the beginning of its topics' names where the document says nothing else. */
    public static String spaceOf(final String topic) {
        return topic.substring(0, topic.indexOf('/'));
    }

    static String topic(final int i) {
        return SPACES[i % SPACES.length] + "/t" + i;
    }

    /** Senders' names tell their tenant: "half-7" is one of "half"; a name without a dash is a member. */
    static String tenantOf(final String sender) {
        return sender.contains("-") ? sender.substring(0, sender.indexOf('-')) : "members";
    }

    /** All tenants of every document. */
    List<String> tenants() {
        final List<String> list = new ArrayList<>(List.of("members"));
        list.addAll(SHAKY);
        for (int i = list.size(); i < world.shape.tenants(); i++) {
            list.add("tenant" + i);
        }
        return list;
    }

    /** What sessions heard that join their topics one by one, in order. */
    final List<Action.ToSession> told = new ArrayList<>();

    boolean holds(final Subscriber s) {
        return sessions.get(s.sessionId) == s;
    }

    List<Subscriber> listeningTo(final String topic) {
        return subscribers.stream()
                .filter(s -> s.listeningSince >= 0 && s.listener.topics().contains(topic) && holds(s))
                .toList();
    }

    int groupOf(final String topic) {
        return Placement.groupOf(topic, new Configuration.Space(spaceOf(topic), 0, oneOrder(topic), 0), world.groups);
    }

    private final Map<Integer, String> topicIn = new HashMap<>();

    /** Some topic of the group, asked about or not. */
    private String topicIn(final int group) {
        return topicIn.computeIfAbsent(group, g -> {
            int i = 0;
            while (groupOf("permits/asked" + i) != g) {
                i++;
            }
            return "permits/asked" + i;
        });
    }

    /** Who ought to be listening and is, twice a second; and somebody asks how many listen. */
    private void roll() {
        if (!quiet) {
            for (final Subscriber s : subscribers) {
                if (s.listener.entitled && !s.naps) {
                    service.asked("listening", world.now(), s.listeningSince >= 0 && holds(s));
                }
            }
            for (int g = 0; g < world.groups && operators.anyConfirmed(); g++) {
                final long at = world.now();
                final String topic = topicIn(g);
                ask(
                        anyGateway(),
                        id -> new NodeRequest.Count(id, "key-members", topic, ""),
                        r -> service.asked("count in group " + groupOf(topic), at, r.status() == 200));
            }
        }
        world.at(world.now() + 500, this::roll);
    }

    // ---- what the processes give back

    void respond(final SimulatedProcess from, final long requestId, final Response r) {
        answers.answered(from, requestId, r);
        final Consumer<Response> then = waiting.remove(requestId);
        requestAt.remove(requestId);
        if (then != null) {
            world.at(world.now(), () -> then.accept(r));
        }
    }

    void deliver(final SimulatedProcess from, final long sessionId, final byte[] line) {
        final Subscriber s = sessions.get(sessionId);
        if (s != null) {
            world.at(world.now(), () -> {
                if (sessions.get(sessionId) == s) {
                    s.line(line);
                }
            });
        }
    }

    void closed(final SimulatedProcess from, final long sessionId, final String why) {
        final Subscriber s = sessions.remove(sessionId);
        if (s != null) {
            world.count("sessions closed");
            world.at(world.now(), () -> s.gone(why));
        }
    }

    /** A process died: whatever was asked of it gets a reset. */
    void gatewayGone(final SimulatedProcess p) {
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

    /** Breaks nearly all sessions at once. */
    void resetAll() {
        world.count("mass resets");
        for (final long id : new ArrayList<>(sessions.keySet())) {
            if (world.random.nextInt(20) != 0) {
                final Subscriber s = sessions.get(id);
                world.processes.get(s.gateway).request(new NodeRequest.Unsubscribe(id));
                closed(world.processes.get(s.gateway), id, "reset");
            }
        }
    }

    long ask(
            final SimulatedProcess p,
            final java.util.function.LongFunction<NodeRequest> request,
            final Consumer<Response> then) {
        final long id = ++requestIds;
        if (!p.alive) {
            world.at(world.now() + 1, () -> then.accept(new Response(-1, 0, "{}")));
            return id;
        }
        waiting.put(id, then);
        requestAt.put(id, p.id);
        world.at(world.now() + 1, () -> p.request(request.apply(id)));
        world.at(world.now() + PATIENCE, () -> {
            if (requestAt.containsKey(id)) {
                respond(p, id, new Response(0, 0, "{\"outcome\":\"timed out\"}"));
            }
        });
        return id;
    }

    /** Nobody waits for the answer any more. */
    void forget(final long requestId) {
        waiting.remove(requestId);
        requestAt.remove(requestId);
    }

    /** One request by hand. */
    void asked(
            final SimulatedProcess p,
            final java.util.function.LongFunction<NodeRequest> request,
            final Consumer<Response> then) {
        ask(p, request, then);
    }

    /** One of those that the platform holds for ready. */
    SimulatedProcess anyGateway() {
        final List<Integer> from = ready.isEmpty() ? world.gateways : ready;
        return world.processes.get(from.get(world.random.nextInt(from.size())));
    }

    /** One that takes connections at all. */
    SimulatedProcess anyController() {
        final List<Integer> from = world.controllers.stream()
                .filter(id -> world.processes.get(id).alive)
                .toList();
        return world.processes.get(from.isEmpty() ? 1 : from.get(world.random.nextInt(from.size())));
    }

    private List<Integer> ready = new ArrayList<>();

    /** The platform's part: it asks each gateway, and hands nobody to those that say no or nothing. */
    private void lookForReady() {
        final List<Integer> now = new ArrayList<>();
        for (final int id : world.gateways) {
            ask(world.processes.get(id), NodeRequest.ReadinessProbe::new, r -> {
                if (r.status() == 200) {
                    now.add(id);
                }
            });
        }
        world.at(world.now() + 250, () -> {
            ready = now;
            lookForReady();
        });
    }

    static JsonObject json(final String text) {
        try (var rd = Json.createReader(new ByteArrayInputStream(text.getBytes(UTF_8)))) {
            return rd.readObject();
        }
    }

    // ---- publishers

    /** A sender with one message under way at a time; it sends again whatever was not answered for good. */
    void publisher(final String sender, final String topic, final String key, final long every, final int patience) {
        publishNext(sender, topic, key, every, patience, 1);
    }

    private void publishNext(
            final String sender,
            final String topic,
            final String key,
            final long every,
            final int patience,
            final long seq) {
        if (quiet) {
            return;
        }
        final Sent s = world.history.sending(topic, sender, seq, sender + " says " + seq);
        s.sentAt = world.now();
        go(
                s,
                key,
                0,
                patience,
                () -> world.at(
                        world.now() + every / 2 + world.random.nextLong(every),
                        () -> publishNext(sender, topic, key, every, patience, seq + 1 + world.random.nextInt(2))));
    }

    private void go(final Sent s, final String key, final int goes, final int patience, final Runnable next) {
        world.count("publish goes");
        final long at = world.now();
        ask(anyGateway(), id -> new NodeRequest.Publish(id, key, s.topic, s.sender, s.seq, s.text), r -> {
            final long now = world.now();
            if (r.status() < 400 || r.status() >= 500) {
                service.asked("publish to group " + groupOf(s.topic), at, r.status() == 200);
            }
            switch (r.status()) {
                case 200 -> {
                    operators.keyUsed(key, "published");
                    final boolean first = s.committedAt < 0;
                    world.history.committed(now, s, json(r.json()).getInt("position"));
                    if (first) {
                        punctual.committed(s);
                        world.sendToAccept.add(now - s.sentAt);
                    }
                    next.run();
                }
                case 401, 403 -> {
                    world.count("keys refused");
                    next.run();
                }
                case 409 -> {
                    if (!s.maybeAppended) {
                        world.history.violation(
                                now,
                                "sequence " + s.seq + " of " + s.topic + "|" + s.sender
                                        + " was refused for good at its first go");
                    }
                    next.run();
                }
                default -> {
                    // why: only an outright refusal is certain; a reset or an unsettled publish may be in the log
                    if (r.status() != 503 && r.status() != -1) {
                        s.maybeAppended = true;
                        world.count(r.status() == 504 ? "unsettled" : "resets and time-outs");
                    } else {
                        world.count("refused for now");
                    }
                    if (goes + 1 >= patience || (quiet && goes > 40)) {
                        s.abandoned = true;
                        world.count("abandoned");
                        next.run();
                    } else {
                        world.at(
                                now + Math.max(100, r.retryAfterMs()) + world.random.nextInt(100),
                                () -> go(s, key, goes + 1, patience, next));
                    }
                }
            }
        });
    }

    // ---- subscribers

    void subscriber(final String name, final String key, final List<String> topics) {
        final Subscriber s = new Subscriber(world, this, name, key, topics);
        subscribers.add(s);
        s.connect();
        world.at(world.now() + 10_000 + world.random.nextLong(30_000), () -> s.nap(AWAY_MAX, 40_000));
    }

    /** One that comes and goes all the time. */
    void restless(final String name, final String key, final List<String> topics) {
        final Subscriber s = new Subscriber(world, this, name, key, topics);
        subscribers.add(s);
        s.connect();
        world.at(world.now() + 1_000, () -> s.nap(500, 500));
    }
}
