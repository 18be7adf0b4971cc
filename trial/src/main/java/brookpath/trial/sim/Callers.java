package brookpath.trial.sim;

import static java.nio.charset.StandardCharsets.UTF_8;

import brookpath.coordination.action.Action;
import brookpath.coordination.message.Response;
import brookpath.coordination.node.FrontNode;
import brookpath.coordination.node.Job;
import brookpath.coordination.node.StorageNode;
import brookpath.coordination.spec.Placement;
import brookpath.coordination.spec.Spec;
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
    static final long PATIENCE = 3_000;
    private static final long KEEPING_MS = 30_000;
    private static final long AWAY_MAX = 20_000;
    private static final String[] SPACES = {"permits", "closures", "clues"};
    /** Tenants whose keys operators take away and give back; half of the sessions use the second. */
    private static final List<String> SHAKY = List.of("guest", "half");

    private final World world;
    private final Map<Long, Consumer<Response>> waiting = new HashMap<>();
    private final Map<Long, Integer> jobAt = new HashMap<>();
    private final Map<Long, Subscriber> sessions = new TreeMap<>();
    private final List<Subscriber> subscribers = new ArrayList<>();
    private final Map<Integer, Long> shown = new HashMap<>();
    private final TreeMap<Long, Long> confirmedAt = new TreeMap<>();
    private final Map<String, Long> removedAt = new HashMap<>();
    private final Map<String, Integer> grantsUnderWay = new HashMap<>();
    private final Punctual punctual;
    private final Service service;
    private long jobIds;
    private int changes;
    /** Sees every answer before its caller does. */
    AnswerObserver answers = (from, jobId, response) -> {};

    boolean quiet;

    Callers(final World world) {
        this.world = world;
        punctual = new Punctual(world, this);
        service = new Service(world);
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
        return Placement.groupOf(topic, new Spec.Space(spaceOf(topic), 0, oneOrder(topic), 0), world.groups);
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
            for (int g = 0; g < world.groups && !confirmedAt.isEmpty(); g++) {
                final long at = world.now();
                final String topic = topicIn(g);
                ask(
                        anyFront(),
                        id -> new Job.Count(id, "key-members", topic, ""),
                        r -> service.asked("count in group " + groupOf(topic), at, r.status() == 200));
            }
        }
        world.at(world.now() + 500, this::roll);
    }

    // ---- what the processes give back

    void respond(final Proc from, final long jobId, final Response r) {
        answers.answered(from, jobId, r);
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

    /** One of those that the platform holds for ready. */
    private Proc anyFront() {
        final List<Integer> from = ready.isEmpty() ? world.fronts : ready;
        return world.procs.get(from.get(world.rnd.nextInt(from.size())));
    }

    /** One that takes connections at all. */
    private Proc anyController() {
        final List<Integer> from = world.controllers.stream()
                .filter(id -> world.procs.get(id).alive)
                .toList();
        return world.procs.get(from.isEmpty() ? 1 : from.get(world.rnd.nextInt(from.size())));
    }

    private List<Integer> ready = new ArrayList<>();

    /** The platform's part: it asks each front, and hands nobody to those that say no or nothing. */
    private void lookForReady() {
        final List<Integer> now = new ArrayList<>();
        for (final int id : world.fronts) {
            ask(world.procs.get(id), Job.Ready::new, r -> {
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

    private static JsonObject json(final String text) {
        try (var rd = Json.createReader(new ByteArrayInputStream(text.getBytes(UTF_8)))) {
            return rd.readObject();
        }
    }

    private void removed(final String key, final String did) {
        final Long at = removedAt.get(key);
        // why: a change under way may give the key back before its operator hears of it
        if (at != null && grantsUnderWay.getOrDefault(key, 0) == 0 && world.now() > at + 5_000) {
            world.history.violation(
                    world.now(),
                    "key " + key + " " + did + " " + (world.now() - at) + " ms after its removal was confirmed");
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
                        world.now() + every / 2 + world.rnd.nextLong(every),
                        () -> publishNext(sender, topic, key, every, patience, seq + 1 + world.rnd.nextInt(2))));
    }

    private void go(final Sent s, final String key, final int goes, final int patience, final Runnable next) {
        world.count("publish goes");
        final long at = world.now();
        ask(anyFront(), id -> new Job.Publish(id, key, s.topic, s.sender, s.seq, s.text), r -> {
            final long now = world.now();
            if (r.status() < 400 || r.status() >= 500) {
                service.asked("publish to group " + groupOf(s.topic), at, r.status() == 200);
            }
            switch (r.status()) {
                case 200 -> {
                    removed(key, "published");
                    final boolean first = s.acceptedAt < 0;
                    world.history.accepted(now, s, json(r.json()).getInt("position"));
                    if (first) {
                        punctual.accepted(s);
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
                                now + Math.max(100, r.retryAfterMs()) + world.rnd.nextInt(100),
                                () -> go(s, key, goes + 1, patience, next));
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
        int front;
        long sessionId;
        long listeningSince = -1;
        boolean naps;

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
            naps = false;
            final boolean resumes = cursor != null;
            final long at = world.now();
            final long[] mine = new long[1];
            mine[0] = ask(p, i -> new Job.Subscribe(i, key, topics, cursor), r -> {
                if (resumes && (r.status() < 400 || r.status() >= 500)) {
                    service.asked("resume", at, r.status() == 200);
                }
                if (r.status() == 200) {
                    world.count("subscribed");
                    return;
                }
                if (!sessions.remove(mine[0], this)) {
                    // why: the session was reset meanwhile, and its caller is coming back already
                    return;
                }
                if (r.status() == 410) {
                    world.history.refusedResume(world.now(), listener, KEEPING_MS);
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
            removed(key, "received");
            cursor = obj.getString("cursor");
            if (obj.getString("type").equals("message")) {
                if (!listener.topics().contains(obj.getString("topic"))) {
                    world.history.violation(world.now(), name + " got an unasked topic");
                }
                world.history.begunIfNot(
                        world.now(),
                        listener,
                        obj.getString("topic"),
                        obj.getJsonNumber("position").longValue());
                world.history.delivered(
                        world.now(),
                        listener,
                        obj.getString("topic"),
                        obj.getJsonNumber("position").longValue(),
                        obj.getString("sender"),
                        obj.getJsonNumber("sequence").longValue(),
                        obj.getString("message"),
                        oneOrder(obj.getString("topic")),
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
            listeningSince = -1;
            world.at(world.now() + 50 + world.rnd.nextInt(500), this::connect);
        }

        /** Drops off for a while and comes back, inside the keeping time. */
        void nap(final long away, final long every) {
            if (quiet) {
                return;
            }
            if (sessions.remove(sessionId) == this) {
                world.count("naps");
                naps = true;
                final Proc p = world.procs.get(front);
                p.job(new Job.Unsubscribe(sessionId));
                waiting.remove(sessionId);
                jobAt.remove(sessionId);
                world.at(world.now() + 100 + world.rnd.nextLong(away), this::connect);
            }
            world.at(world.now() + every / 2 + world.rnd.nextLong(every), () -> nap(away, every));
        }
    }

    void subscriber(final String name, final String key, final List<String> topics) {
        final Subscriber s = new Subscriber(name, key, topics);
        subscribers.add(s);
        s.connect();
        world.at(world.now() + 10_000 + world.rnd.nextLong(30_000), () -> s.nap(AWAY_MAX, 40_000));
    }

    /** One that comes and goes all the time. */
    void restless(final String name, final String key, final List<String> topics) {
        final Subscriber s = new Subscriber(name, key, topics);
        subscribers.add(s);
        s.connect();
        world.at(world.now() + 1_000, () -> s.nap(500, 500));
    }

    // ---- operators

    /** The whole spec; the keys that may come and go are there where their tenant is in the list. */
    String document(final long basedOn, final String changeId, final List<String> withKeys) {
        final StringBuilder sb =
                new StringBuilder("{\"basedOn\":" + basedOn + ",\"changeId\":\"" + changeId + "\",\"spaces\":[");
        for (int i = 0; i < SPACES.length; i++) {
            sb.append(i == 0 ? "" : ",")
                    .append("{\"name\":\"")
                    .append(SPACES[i])
                    .append("\",\"keepingSeconds\":" + KEEPING_MS / 1_000 + ",\"order\":\"")
                    .append(SPACES[i].equals("clues") ? "one" : "sender")
                    .append("\"}");
        }
        sb.append("],\"tenants\":[");
        for (final String t : tenants()) {
            sb.append(t.equals("members") ? "" : ",")
                    .append("{\"name\":\"")
                    .append(t)
                    .append("\",\"spaces\":[")
                    .append(t.equals("guest") ? "\"permits\"" : "\"permits\",\"closures\",\"clues\"")
                    .append("],\"keys\":[")
                    .append(SHAKY.contains(t) && !withKeys.contains(t) ? "" : "\"key-" + t + "\"")
                    .append("]}");
        }
        return sb.append("]}").toString();
    }

    String document(final long basedOn, final String changeId, final boolean withGuest) {
        return document(basedOn, changeId, withGuest ? SHAKY : List.of("half"));
    }

    /** Hands a document to any controller, again and again under the same ID until it gets a final outcome. */
    void change(final String doc, final String changeId, final Consumer<Response> then) {
        final Proc p = anyController();
        final long at = world.now();
        ask(p, id -> new Job.Operate(id, "change", doc.getBytes(UTF_8)), r -> {
            service.asked("change", at, r.status() == 200 || (r.status() >= 400 && r.status() < 500));
            if (r.status() == 200) {
                final long version = json(r.json()).getInt("version");
                confirmed(version, changeId);
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

    /** A change was confirmed to an operator, and has to hold from now on. */
    void confirmed(final long version, final String changeId) {
        world.history.confirmed(world.now(), version, changeId);
        confirmedAt.putIfAbsent(version, world.now());
        world.count("changes confirmed");
    }

    private final Set<String> refused = new LinkedHashSet<>();

    /** Two operators race on the newest version that one of them read, now and then with nonsense. */
    void operators(final long every) {
        if (quiet) {
            return;
        }
        final Proc p = anyController();
        ask(p, id -> new Job.Operate(id, "spec", new byte[0]), r -> {
            if (r.status() == 200 && !quiet) {
                final long version = json(r.json()).getInt("version");
                final int racers = 1 + world.rnd.nextInt(2);
                for (int i = 0; i < racers; i++) {
                    turn(version, world.rnd.nextInt(5) == 0);
                }
            }
            world.at(world.now() + every / 2 + world.rnd.nextLong(every), () -> operators(every));
        });
    }

    /** Two operators hand over different documents made from the same version, at once. */
    void race() {
        readSpec(r -> {
            if (r.status() == 200) {
                world.count("staged races");
                turn(json(r.json()).getInt("version"), false);
                turn(json(r.json()).getInt("version"), false);
            }
        });
    }

    /** An operator's job that nobody waits for. */
    void operate(final String kind, final byte[] body) {
        ask(anyController(), id -> new Job.Operate(id, kind, body), r -> world.count(kind + " said " + r.status()));
    }

    /** One change that takes keys away or gives them back, by chance. */
    void turn(final long basedOn, final boolean nonsense) {
        final String changeId = "change-" + ++changes;
        final List<String> keys =
                SHAKY.stream().filter(t -> world.rnd.nextInt(3) != 0).toList();
        final String doc = document(basedOn, changeId, keys);
        keys.forEach(t -> grantsUnderWay.merge("key-" + t, 1, Integer::sum));
        change(nonsense ? doc.replace("\"keepingSeconds\":30", "\"keepingSeconds\":-3") : doc, changeId, res -> {
            keys.forEach(t -> grantsUnderWay.merge("key-" + t, -1, Integer::sum));
            if (res.status() != 200) {
                return;
            }
            if (nonsense) {
                world.history.violation(world.now(), changeId + " is nonsense and was confirmed");
            }
            if (json(res.json()).getInt("version") == world.history.newestConfirmed()) {
                for (final String t : SHAKY) {
                    if (keys.contains(t)) {
                        removedAt.remove("key-" + t);
                    } else {
                        removedAt.putIfAbsent("key-" + t, world.now());
                    }
                }
            }
        });
    }

    void readSpec(final Consumer<Response> then) {
        final Proc p = anyController();
        ask(p, id -> new Job.Operate(id, "spec", new byte[0]), then);
    }

    /** What every data-plane process shows, against what was confirmed. */
    void watch() {
        for (final Proc p : world.procs.values()) {
            final SpecClient c = !p.alive || p.frozen()
                    ? null
                    : p.node instanceof FrontNode f ? f.client() : p.node instanceof StorageNode s ? s.client() : null;
            if (c == null) {
                continue;
            }
            final long version = c.spec().version();
            final Map.Entry<Long, Long> missing = confirmedAt.higherEntry(version);
            if (missing != null
                    && world.now()
                            > Math.max(missing.getValue(), world.wellness.specExcusedUntil(p.id))
                                    + world.tempo.changeMs()) {
                world.history.violation(
                        world.now(),
                        "node " + p.id + " has spec " + version + " still, " + (world.now() - missing.getValue())
                                + " ms after " + missing.getKey() + " was confirmed, and is not cut off");
            }
            if (!c.leased(p.mono())) {
                continue;
            }
            final Long was = shown.put(p.id, version);
            if (was != null && version < was) {
                world.history.violation(world.now(), "node " + p.id + " went back from spec " + was + " to " + version);
            }
            final Map.Entry<Long, Long> newest = confirmedAt.lastEntry();
            if (newest != null && version < newest.getKey() && world.now() > newest.getValue()) {
                world.history.violation(
                        world.now(),
                        "node " + p.id + " honours spec " + version + " while " + newest.getKey() + " was confirmed at "
                                + newest.getValue());
            }
            if (version > 0 && refused.contains(c.spec().changeId())) {
                world.history.violation(
                        world.now(),
                        "node " + p.id + " honours the refused change "
                                + c.spec().changeId());
            }
        }
    }
}
