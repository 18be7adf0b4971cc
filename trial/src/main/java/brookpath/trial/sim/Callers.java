package brookpath.trial.sim;

import static java.nio.charset.StandardCharsets.UTF_8;

import brookpath.coordination.message.Response;
import brookpath.coordination.node.FrontNode;
import brookpath.coordination.node.Job;
import brookpath.coordination.node.StorageNode;
import brookpath.coordination.spec.SpecClient;
import brookpath.trial.oracle.History.Listener;
import brookpath.trial.oracle.History.Sent;
import jakarta.json.Json;
import jakarta.json.JsonObject;
import java.io.ByteArrayInputStream;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;

/** Stand-in callers and operators. They see only what HTTP would show them. */
public final class Callers {
    private static final long PATIENCE = 3_000;
    private static final long AWAY_MAX = 20_000;
    private static final String[] SPACES = {"permits", "closures", "clues"};

    private final World world;
    private final Map<Long, Consumer<Response>> waiting = new HashMap<>();
    private final Map<Long, Integer> jobAt = new HashMap<>();
    private final Map<Long, Subscriber> sessions = new TreeMap<>();
    private final List<Subscriber> subscribers = new ArrayList<>();
    private final Map<Integer, Long> shown = new HashMap<>();
    private final TreeMap<Long, Long> confirmedAt = new TreeMap<>();
    private final Map<String, Long> removedAt = new HashMap<>();
    private long jobIds;
    private int changes;
    boolean quiet;
    long lastAcceptedAt;

    Callers(final World world) {
        this.world = world;
    }

    // ---- what the processes give back

    void respond(final Proc from, final long jobId, final Response r) {
        final Consumer<Response> then = waiting.remove(jobId);
        jobAt.remove(jobId);
        if (then != null) {
            world.at(world.now(), () -> then.accept(r));
        }
    }

    void deliver(final Proc from, final long sessionId, final byte[] line) {
        final Subscriber s = sessions.get(sessionId);
        if (s != null) {
            world.at(world.now(), () -> {
                if (sessions.get(sessionId) == s) {
                    s.line(line);
                }
            });
        }
    }

    void closed(final Proc from, final long sessionId, final String why) {
        final Subscriber s = sessions.remove(sessionId);
        if (s != null) {
            world.count("sessions closed");
            world.at(world.now(), () -> s.gone(why));
        }
    }

    /** A process died: whatever was asked of it gets a reset. */
    void frontGone(final Proc p) {
        for (final long id : new ArrayList<>(jobAt.keySet())) {
            if (jobAt.get(id) == p.id) {
                respond(p, id, new Response(0, 0, "{\"outcome\":\"reset\"}"));
            }
        }
        for (final long id : new ArrayList<>(sessions.keySet())) {
            if (sessions.get(id) != null && sessions.get(id).front == p.id) {
                closed(p, id, "reset");
            }
        }
    }

    /** Breaks nearly all sessions at once. */
    void resetAll() {
        world.count("mass resets");
        for (final long id : new ArrayList<>(sessions.keySet())) {
            if (world.rnd.nextInt(20) != 0) {
                final Subscriber s = sessions.get(id);
                world.procs.get(s.front).job(new Job.Unsubscribe(id));
                closed(world.procs.get(s.front), id, "reset");
            }
        }
    }

    private long ask(final Proc p, final java.util.function.LongFunction<Job> job, final Consumer<Response> then) {
        final long id = ++jobIds;
        if (!p.alive) {
            world.at(world.now() + 1, () -> then.accept(new Response(-1, 0, "{}")));
            return id;
        }
        waiting.put(id, then);
        jobAt.put(id, p.id);
        world.at(world.now() + 1, () -> p.job(job.apply(id)));
        world.at(world.now() + PATIENCE, () -> {
            if (jobAt.containsKey(id)) {
                respond(p, id, new Response(0, 0, "{\"outcome\":\"timed out\"}"));
            }
        });
        return id;
    }

    /** One job by hand. */
    void asked(final Proc p, final java.util.function.LongFunction<Job> job, final Consumer<Response> then) {
        ask(p, job, then);
    }

    private Proc anyFront() {
        return world.procs.get(world.fronts.get(world.rnd.nextInt(world.fronts.size())));
    }

    private static JsonObject json(final String text) {
        try (var rd = Json.createReader(new ByteArrayInputStream(text.getBytes(UTF_8)))) {
            return rd.readObject();
        }
    }

    // ---- publishers

    /** A sender with one message under way at a time; it sends again whatever was not answered for good. */
    void publisher(final String sender, final String topic, final String key, final long every, final int patience) {
        publishNext(sender, topic, key, every, patience, 1);
    }

    private void publishNext(final String sender, final String topic, final String key, final long every, final int patience, final long seq) {
        if (quiet) {
            return;
        }
        final Sent s = world.history.sending(topic, sender, seq, sender + " says " + seq);
        go(s, key, 0, patience, () -> world.at(world.now() + every / 2 + world.rnd.nextLong(every),
                () -> publishNext(sender, topic, key, every, patience, seq + 1 + world.rnd.nextInt(2))));
    }

    private void go(final Sent s, final String key, final int goes, final int patience, final Runnable next) {
        world.count("publish goes");
        ask(anyFront(), id -> new Job.Publish(id, key, s.topic, s.sender, s.seq, s.text), r -> {
            final long now = world.now();
            switch (r.status()) {
                case 200 -> {
                    final Long removed = removedAt.get(key);
                    if (removed != null && now > removed + 5_000) {
                        world.history.violation(now, "key " + key + " published " + (now - removed) + " ms after its removal was confirmed");
                    }
                    lastAcceptedAt = now;
                    world.history.accepted(now, s, json(r.json()).getInt("position"));
                    next.run();
                }
                case 401, 403 -> {
                    world.count("keys refused");
                    next.run();
                }
                case 409 -> {
                    if (!s.maybeAppended) {
                        world.history.violation(now, "sequence " + s.seq + " of " + s.topic + "|" + s.sender + " was refused for good at its first go");
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
                    if (goes + 1 >= patience || quiet && goes > 40) {
                        s.abandoned = true;
                        world.count("abandoned");
                        next.run();
                    } else {
                        world.at(now + Math.max(100, r.retryAfterMs()) + world.rnd.nextInt(100), () -> go(s, key, goes + 1, patience, next));
                    }
                }
            }
        });
    }

    // ---- subscribers

    final class Subscriber {
        final String name;
        final String key;
        final List<String> topics;
        final Listener listener;
        String cursor;
        long cursorAt;
        int front;
        long sessionId;
        long listeningSince = -1;

        Subscriber(final String name, final String key, final List<String> topics) {
            this.name = name;
            this.key = key;
            this.topics = topics;
            listener = world.history.listener(name, new LinkedHashSet<>(topics));
        }

        void connect() {
            final Proc p = anyFront();
            front = p.id;
            listeningSince = -1;
            final long[] mine = new long[1];
            mine[0] = ask(p, i -> new Job.Subscribe(i, key, topics, cursor), r -> {
                if (r.status() == 200) {
                    world.count("subscribed");
                    return;
                }
                if (!sessions.remove(mine[0], this)) {
                    // why: the session was reset meanwhile, and its caller is coming back already
                    return;
                }
                if (r.status() == 410) {
                    if (world.now() - cursorAt < 25_000) {
                        world.history.violation(world.now(), name + " could not resume from a cursor " + (world.now() - cursorAt) + " ms old");
                    }
                    world.count("too old to resume");
                    listener.entitled = false;
                    return;
                }
                if (r.status() == 401) {
                    listener.entitled = false;
                    world.count("keys refused");
                }
                world.at(world.now() + 100 + r.retryAfterMs() + world.rnd.nextInt(300), this::connect);
            });
            sessionId = mine[0];
            sessions.put(sessionId, this);
        }

        void line(final byte[] bytes) {
            final JsonObject obj = json(new String(bytes, UTF_8));
            final Long removed = removedAt.get(key);
            if (removed != null && world.now() > removed + 5_000) {
                world.history.violation(world.now(), "key " + key + " received " + (world.now() - removed) + " ms after its removal was confirmed");
            }
            cursor = obj.getString("cursor");
            cursorAt = world.now();
            if (obj.getString("type").equals("message")) {
                if (!listener.topics().contains(obj.getString("topic"))) {
                    world.history.violation(world.now(), name + " got an unasked topic");
                }
                world.history.begunIfNot(world.now(), listener, obj.getString("topic"), obj.getJsonNumber("position").longValue());
                world.history.delivered(world.now(), listener, obj.getString("topic"), obj.getJsonNumber("position").longValue(),
                        obj.getString("sender"), obj.getJsonNumber("sequence").longValue(), obj.getString("message"),
                        obj.getString("topic").startsWith("clues/"),
                        listeningSince < 0 ? -1 : Math.max(listeningSince, world.procs.get(front).frozenUntil));
            } else {
                if (listeningSince < 0) {
                    listeningSince = world.now();
                }
                final Map<String, Long> at = new HashMap<>();
                for (final String part : new String(Base64.getUrlDecoder().decode(cursor), UTF_8).split(",")) {
                    at.put(part.substring(0, part.indexOf('@')), Long.parseLong(part.substring(part.indexOf('@') + 1)));
                }
                world.history.begun(world.now(), listener, at);
            }
        }

        void gone(final String why) {
            world.count("sessions gone");
            world.at(world.now() + 50 + world.rnd.nextInt(500), this::connect);
        }

        /** Drops off for a while and comes back, inside the keeping time. */
        void nap() {
            if (quiet) {
                return;
            }
            if (sessions.remove(sessionId) == this) {
                world.count("naps");
                final Proc p = world.procs.get(front);
                p.job(new Job.Unsubscribe(sessionId));
                waiting.remove(sessionId);
                jobAt.remove(sessionId);
                world.at(world.now() + 100 + world.rnd.nextLong(AWAY_MAX), this::connect);
            }
            world.at(world.now() + 15_000 + world.rnd.nextLong(40_000), this::nap);
        }
    }

    void subscriber(final String name, final String key, final List<String> topics) {
        final Subscriber s = new Subscriber(name, key, topics);
        subscribers.add(s);
        s.connect();
        world.at(world.now() + 10_000 + world.rnd.nextLong(30_000), s::nap);
    }

    // ---- operators

    static String document(final long basedOn, final String changeId, final boolean withGuest) {
        final StringBuilder sb = new StringBuilder("{\"basedOn\":" + basedOn + ",\"changeId\":\"" + changeId + "\",\"spaces\":[");
        for (int i = 0; i < SPACES.length; i++) {
            sb.append(i == 0 ? "" : ",").append("{\"name\":\"").append(SPACES[i]).append("\",\"keepingSeconds\":30,\"order\":\"")
                    .append(SPACES[i].equals("clues") ? "one" : "sender").append("\"}");
        }
        sb.append("],\"tenants\":[{\"name\":\"members\",\"spaces\":[\"permits\",\"closures\",\"clues\"],\"keys\":[\"key-members\"]}");
        sb.append(",{\"name\":\"guests\",\"spaces\":[\"permits\"],\"keys\":[").append(withGuest ? "\"key-guest\"" : "").append("]}]}");
        return sb.toString();
    }

    /** Hands a document to any bailiff, again and again under the same ID until it gets a final outcome. */
    void change(final String doc, final String changeId, final Consumer<Response> then) {
        final Proc p = world.procs.get(world.bailiffs.get(world.rnd.nextInt(3)));
        ask(p, id -> new Job.Operate(id, "change", doc.getBytes(UTF_8)), r -> {
            if (r.status() == 200) {
                final long version = json(r.json()).getInt("version");
                world.history.confirmed(world.now(), version, changeId);
                confirmedAt.putIfAbsent(version, world.now());
                world.count("changes confirmed");
                then.accept(r);
            } else if (r.status() == 409 || r.status() == 422 || r.status() == 400) {
                world.count("changes refused");
                refused.add(changeId);
                then.accept(r);
            } else {
                world.at(world.now() + 200 + world.rnd.nextInt(500), () -> change(doc, changeId, then));
            }
        });
    }

    private final Set<String> refused = new LinkedHashSet<>();

    /** Two operators race on the newest version that one of them read, now and then with nonsense. */
    void operators(final long every) {
        if (quiet) {
            return;
        }
        final Proc p = world.procs.get(world.bailiffs.get(world.rnd.nextInt(3)));
        ask(p, id -> new Job.Operate(id, "spec", new byte[0]), r -> {
            if (r.status() == 200 && !quiet) {
                final long version = json(r.json()).getInt("version");
                final int racers = 1 + world.rnd.nextInt(2);
                for (int i = 0; i < racers; i++) {
                    final String changeId = "change-" + ++changes;
                    final boolean guest = world.rnd.nextBoolean();
                    final boolean nonsense = world.rnd.nextInt(5) == 0;
                    final String doc = document(version, changeId, guest);
                    change(nonsense ? doc.replace("\"keepingSeconds\":30", "\"keepingSeconds\":-3") : doc, changeId, res -> {
                        if (res.status() == 200) {
                            if (nonsense) {
                                world.history.violation(world.now(), changeId + " is nonsense and was confirmed");
                            }
                            final long confirmed = json(res.json()).getInt("version");
                            if (confirmed == world.history.newestConfirmed()) {
                                if (guest) {
                                    removedAt.remove("key-guest");
                                } else {
                                    removedAt.putIfAbsent("key-guest", world.now());
                                }
                            }
                        }
                    });
                    if (guest) {
                        // why: a change on its way may give the key back before its operator hears of it
                        removedAt.remove("key-guest");
                    }
                }
            }
            world.at(world.now() + every / 2 + world.rnd.nextLong(every), () -> operators(every));
        });
    }

    void readSpec(final Consumer<Response> then) {
        final Proc p = world.procs.get(world.bailiffs.get(world.rnd.nextInt(3)));
        ask(p, id -> new Job.Operate(id, "spec", new byte[0]), then);
    }

    /** What every data-plane process shows, against what was confirmed. */
    void watch() {
        for (final Proc p : world.procs.values()) {
            final SpecClient c = !p.alive || p.frozen() ? null
                    : p.node instanceof FrontNode f ? f.client() : p.node instanceof StorageNode s ? s.client() : null;
            if (c == null || !c.leased(p.mono())) {
                continue;
            }
            final long version = c.spec().version();
            final Long was = shown.put(p.id, version);
            if (was != null && version < was) {
                world.history.violation(world.now(), "node " + p.id + " went back from spec " + was + " to " + version);
            }
            final Map.Entry<Long, Long> newest = confirmedAt.lastEntry();
            if (newest != null && version < newest.getKey() && world.now() > newest.getValue()) {
                world.history.violation(world.now(), "node " + p.id + " honours spec " + version + " while " + newest.getKey()
                        + " was confirmed at " + newest.getValue());
            }
            if (version > 0 && refused.contains(c.spec().changeId())) {
                world.history.violation(world.now(), "node " + p.id + " honours the refused change " + c.spec().changeId());
            }
        }
    }
}
