package brookpath.trial.fleet;

import brookpath.trial.fleet.Load.Profile;
import brookpath.trial.oracle.History;
import brookpath.trial.relay.Relay;
import com.sun.net.httpserver.HttpServer;
import jakarta.json.Json;
import jakarta.json.JsonObject;
import java.io.IOException;
import java.io.StringReader;
import java.net.InetSocketAddress;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * A day of real processes: the brief's failures one after another and over each other, racing operators all along who
 * take the key of half of the sessions away and give it back, a platform that is slow and down at times, and a failure
 * at the end. The simulator's oracle judges.
 */
final class FleetDay implements AutoCloseable {
    /** The kinds of failure, by what they do to a running fleet. */
    enum Strike {
        KILL,
        FREEZE,
        RESTART,
        LOSS,
        ONE_WAY,
        RESETS,
        PLATFORM,
        SETTINGS
    }

    private final Fleet fleet;
    private final Load load;
    private final Profile profile;
    private final Relay relay;
    private final SplittableRandom rnd;
    private final Platform platform;
    private final AtomicBoolean open = new AtomicBoolean(true);
    private final TreeMap<String, Integer> counts = new TreeMap<>();
    private final Thread operators = new Thread(this::operate, "operators");
    private volatile long newest = 1;
    private int changes;

    /** Where usage reports go. Its own clock is the fleet's, for all processes run on this machine. */
    static final class Platform implements AutoCloseable {
        private final HttpServer server;
        private volatile Load load;
        /** The wall clock when the callers' own began. */
        private long born;

        private volatile long troubleUntil;
        private volatile int reports;

        Platform() throws IOException {
            server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
            server.setExecutor(java.util.concurrent.Executors.newCachedThreadPool(r -> {
                final Thread th = new Thread(r, "platform");
                th.setDaemon(true);
                return th;
            }));
            server.createContext("/usage", ex -> {
                final String body =
                        new String(ex.getRequestBody().readAllBytes(), java.nio.charset.StandardCharsets.UTF_8);
                final boolean trouble = System.nanoTime() < troubleUntil;
                try {
                    if (trouble) {
                        Thread.sleep(1_000);
                    }
                } catch (final InterruptedException stop) {
                    Thread.currentThread().interrupt();
                }
                // why: in trouble it takes every other report and says of all that it did not, so the same must come
                // again
                final boolean takes = !trouble || body.hashCode() % 2 == 0;
                if (takes && load != null) {
                    take(body);
                }
                ex.sendResponseHeaders(trouble ? 500 : 200, -1);
                ex.close();
            });
            server.start();
        }

        private void take(final String body) {
            try (var rd = Json.createReader(new StringReader(body))) {
                final JsonObject obj = rd.readObject();
                final History history = load.history();
                synchronized (history) {
                    reports++;
                    obj.getJsonArray("tenants")
                            .getValuesAs(JsonObject.class)
                            .forEach(t -> history.usage.reported(
                                    load.clock(),
                                    t.getString("tenant"),
                                    obj.getJsonNumber("windowEndMs").longValue() - born,
                                    t.getJsonNumber("publishes").longValue(),
                                    t.getJsonNumber("bytes").longValue(),
                                    t.getBoolean("late")));
                }
            }
        }

        String url() {
            return "http://127.0.0.1:" + server.getAddress().getPort() + "/usage";
        }

        @Override
        public void close() {
            server.stop(0);
        }
    }

    FleetDay(
            final Fleet fleet,
            final Load load,
            final Profile profile,
            final Relay relay,
            final Platform platform,
            final long seed) {
        this.fleet = fleet;
        this.load = load;
        this.profile = profile;
        this.relay = relay;
        this.platform = platform;
        platform.born = System.currentTimeMillis() - load.clock();
        platform.load = load;
        rnd = new SplittableRandom(seed);
        operators.setDaemon(true);
    }

    /** Strikes every few seconds until the time is up, the last time right before; then all machines come back. */
    void live(final long ms, final List<Strike> kinds) throws Exception {
        operators.start();
        final long end = load.clock() + ms;
        while (load.clock() < end) {
            strike(kinds.get(rnd.nextInt(kinds.size())));
            Thread.sleep(1_500 + rnd.nextInt(2_500));
        }
        strike(kinds.get(rnd.nextInt(kinds.size())));
        relay.heal();
        final long healed = load.clock();
        for (final Fleet.Unit u : fleet.units().values()) {
            if (!u.alive()) {
                u.start(false);
            }
        }
        final int before = accepted();
        while (load.clock() < healed + 60_000 && accepted() < before + profile.perSecond()) {
            Thread.sleep(50);
        }
        System.out.println("healed: a second's worth of messages accepted again after " + (load.clock() - healed)
                + " ms (bound 12000)");
        Thread.sleep(3_000);
        open.set(false);
        operators.join();
        readBack();
        System.out.println(
                "day: " + counts + ", resets " + relay.resets() + ", packets lost " + relay.lost() + ", usage reports "
                        + platform.reports + ", latest " + load.history().usage.latest() + " ms after its window");
    }

    private int accepted() {
        synchronized (load.history()) {
            return load.history().accepted();
        }
    }

    private void violation(final String what) {
        synchronized (load.history()) {
            load.history().violation(load.clock(), what);
        }
    }

    private void count(final String what) {
        synchronized (counts) {
            counts.merge(what, 1, Integer::sum);
        }
    }

    private Fleet.Unit any(final List<Fleet.Unit> of) {
        return of.get(rnd.nextInt(of.size()));
    }

    /** Storage machines most of all, and never while another machine is away. */
    private Fleet.Unit victim() {
        final List<Fleet.Unit> bailiffs =
                fleet.units().values().stream().filter(u -> u.bailiff).toList();
        final int kind = rnd.nextInt(10);
        return any(kind < 5 ? fleet.storages() : kind < 8 ? bailiffs : fleet.fronts());
    }

    private void strike(final Strike kind) throws Exception {
        final Fleet.Unit u = victim();
        count(kind.name());
        switch (kind) {
            case KILL -> {
                u.kill();
                Thread.sleep(500 + rnd.nextInt(3_000));
                u.start(false);
                whole(u);
            }
            case FREEZE -> {
                u.signal("STOP");
                Thread.sleep(600 + rnd.nextInt(2_500));
                u.signal("CONT");
            }
            case RESTART -> {
                u.stop();
                u.start(false);
                whole(u);
            }
            case LOSS -> {
                relay.loss(10 + rnd.nextInt(20));
                Thread.sleep(2_000);
                relay.heal();
            }
            case ONE_WAY -> {
                for (final Fleet.Unit other : fleet.units().values()) {
                    if (other != u && rnd.nextInt(3) > 0) {
                        relay.cut(u.node, other.node);
                    }
                }
                Thread.sleep(1_000 + rnd.nextInt(2_000));
                relay.heal();
            }
            case RESETS -> relay.reset(n -> n >= 31, 20);
            case PLATFORM -> platform.troubleUntil = System.nanoTime() + 4_000_000_000L;
            case SETTINGS -> {
                final String good = Files.readString(u.settings());
                Files.writeString(u.settings(), good.substring(0, good.length() / 2));
                Thread.sleep(1_500);
                Files.writeString(u.settings(), good);
            }
        }
    }

    /** Until the machine counts again, so that the next failure is not the second at a time. */
    private void whole(final Fleet.Unit u) throws InterruptedException {
        final long end = load.clock() + 15_000;
        while (load.clock() < end) {
            final String status = fleet.get(u, "/v1/status");
            final String ready = fleet.get(u, "/v1/ready");
            if (!ready.isEmpty()
                    && !status.contains("\"lost\":true")
                    && !status.contains("\"master\":0")
                    && !status.contains("\"sync\":\"catch-up\"")) {
                return;
            }
            Thread.sleep(50);
        }
        violation("node " + u.node + " was not whole 15 s after its restart");
    }

    // ---- operators

    private void operate() {
        final SplittableRandom own = new SplittableRandom(7);
        while (open.get()) {
            try {
                final List<Thread> racers = new ArrayList<>();
                for (int i = 0; i < 1 + own.nextInt(2); i++) {
                    final boolean with = own.nextInt(3) != 0;
                    final boolean nonsense = own.nextInt(5) == 0;
                    final int at = 1 + own.nextInt(3);
                    final String id = "change-" + ++changes;
                    racers.add(new Thread(() -> hand(newest, id, with, nonsense, at), id));
                }
                racers.forEach(Thread::start);
                for (final Thread th : racers) {
                    th.join();
                }
                Thread.sleep(2_500);
            } catch (final InterruptedException ex) {
                return;
            }
        }
    }

    private void hand(
            final long basedOn, final String id, final boolean with, final boolean nonsense, final int first) {
        final String doc = nonsense
                ? profile.document(basedOn, id, with).replace("\"keepingSeconds\":30", "\"keepingSeconds\":-1")
                : profile.document(basedOn, id, with);
        if (with && !nonsense) {
            load.grantUnderWay(profile.shakyKey());
        }
        for (int go = 0; go < 60; go++) {
            try {
                final HttpResponse<String> r = fleet.post(fleet.units().get(1 + (first + go) % 3), "/v1/changes", doc);
                if (r.statusCode() == 200) {
                    count("changes confirmed");
                    confirmed(r.body(), id, with, nonsense);
                    return;
                } else if (r.statusCode() >= 400 && r.statusCode() < 500) {
                    count("changes refused");
                    return;
                }
                Thread.sleep(200);
            } catch (final IOException ex) {
                count("changes asked of a bailiff that is away");
            } catch (final InterruptedException ex) {
                return;
            }
        }
        violation(id + " got no outcome in 60 goes");
    }

    private synchronized void confirmed(
            final String body, final String id, final boolean with, final boolean nonsense) {
        try (var rd = Json.createReader(new StringReader(body))) {
            final long version = rd.readObject().getInt("version");
            synchronized (load.history()) {
                load.history().confirmed(load.clock(), version, id);
            }
            if (nonsense) {
                violation(id + " is nonsense and was confirmed");
            }
            if (version > newest) {
                newest = version;
                if (!with) {
                    load.removed(profile.shakyKey());
                }
            }
        }
    }

    private void readBack() throws Exception {
        for (int go = 0; go < 50; go++) {
            final String spec = fleet.get(fleet.units().get(1 + go % 3), "/v1/spec");
            if (!spec.isEmpty()) {
                try (var rd = Json.createReader(new StringReader(spec))) {
                    final JsonObject obj = rd.readObject();
                    final String id = load.history().confirmedAs(newest);
                    if (obj.getInt("version") < newest
                            || (obj.getInt("version") == newest
                                    && id != null
                                    && !obj.getJsonObject("document")
                                            .getString("changeId")
                                            .equals(id))) {
                        violation("spec " + newest + " was confirmed, read back is " + obj.getInt("version"));
                    }
                }
                return;
            }
            Thread.sleep(200);
        }
        violation("the newest spec could not be read");
    }

    @Override
    public void close() {
        open.set(false);
    }
}
