package brookpath.testing.sim;

import static java.nio.charset.StandardCharsets.UTF_8;

import brookpath.coordination.node.NodeRequest;
import brookpath.testing.oracle.History.Listener;
import jakarta.json.JsonObject;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;

/** A simulated subscriber to some topics, which resumes its session with its cursor after each disconnection. */
final class Subscriber {
    private final SimulatedCluster cluster;
    private final Callers callers;
    final String name;
    final String key;
    final List<String> topics;
    final Listener listener;
    String cursor;
    int gateway;
    long sessionId;
    long listeningSince = -1;
    boolean disconnected;

    Subscriber(
            final SimulatedCluster cluster,
            final Callers callers,
            final String name,
            final String key,
            final List<String> topics) {
        this.cluster = cluster;
        this.callers = callers;
        this.name = name;
        this.key = key;
        this.topics = topics;
        listener = cluster.history.listener(name, new LinkedHashSet<>(topics));
    }

    void connect() {
        final SimulatedProcess p = callers.anyGateway();
        gateway = p.id;
        listeningSince = -1;
        disconnected = false;
        final boolean resumes = cursor != null;
        final long at = cluster.now();
        final long[] requestId = new long[1];
        requestId[0] = callers.ask(p, id -> new NodeRequest.Subscribe(id, key, topics, cursor), r -> {
            if (resumes && (r.status() < 400 || r.status() >= 500)) {
                callers.availability.recordRequest("resume", at, r.status() == 200);
            }
            if (r.status() == 200) {
                cluster.count("subscribed");
                return;
            }
            if (!callers.sessions.remove(requestId[0], this)) {
                // the session was reset meanwhile, and the subscriber is already reconnecting
                return;
            }
            if (r.status() == 410) {
                cluster.history.resumeRefused(cluster.now(), listener, Callers.RETENTION_MS);
                cluster.count("too old to resume");
                listener.expectsAllMessages = false;
                return;
            }
            if (r.status() == 401) {
                listener.expectsAllMessages = false;
                cluster.count("keys refused");
            }
            cluster.at(cluster.now() + 100 + r.retryAfterMs() + cluster.random.nextInt(300), this::connect);
        });
        sessionId = requestId[0];
        callers.sessions.put(sessionId, this);
    }

    void line(final byte[] bytes) {
        final JsonObject obj = Callers.json(new String(bytes, UTF_8));
        callers.operators.checkKeyUse(key, "received");
        cursor = obj.getString("cursor");
        if (obj.getString("type").equals("message")) {
            if (!listener.topics().contains(obj.getString("topic"))) {
                cluster.history.violation(
                        cluster.now(), name + " got a message of a topic that it did not subscribe to");
            }
            cluster.history.subscribedAtOrBefore(
                    cluster.now(),
                    listener,
                    obj.getString("topic"),
                    obj.getJsonNumber("position").longValue());
            cluster.history.delivered(
                    cluster.now(),
                    listener,
                    obj.getString("topic"),
                    obj.getJsonNumber("position").longValue(),
                    obj.getString("sender"),
                    obj.getJsonNumber("sequence").longValue(),
                    obj.getString("message"),
                    Callers.oneOrder(obj.getString("topic")),
                    listeningSince < 0 ? -1 : Math.max(listeningSince, cluster.processes.get(gateway).frozenUntil));
        } else {
            if (listeningSince < 0) {
                listeningSince = cluster.now();
            }
            final Map<String, Long> at = new HashMap<>();
            for (final String part : new String(Base64.getUrlDecoder().decode(cursor), UTF_8).split(",")) {
                at.put(part.substring(0, part.indexOf('@')), Long.parseLong(part.substring(part.indexOf('@') + 1)));
            }
            cluster.history.subscribedAt(cluster.now(), listener, at);
        }
    }

    void onClosed(final String why) {
        cluster.count("sessions to reconnect");
        listeningSince = -1;
        cluster.at(cluster.now() + 50 + cluster.random.nextInt(500), this::connect);
    }

    /** Disconnects and reconnects within the retention time; repeats this about every period. */
    void disconnectTemporarily(final long maxAwayMs, final long periodMs) {
        if (callers.quiet) {
            return;
        }
        if (callers.sessions.remove(sessionId) == this) {
            cluster.count("disconnections");
            disconnected = true;
            final SimulatedProcess p = cluster.processes.get(gateway);
            p.request(new NodeRequest.Unsubscribe(sessionId));
            callers.forget(sessionId);
            cluster.at(cluster.now() + 100 + cluster.random.nextLong(maxAwayMs), this::connect);
        }
        cluster.at(
                cluster.now() + periodMs / 2 + cluster.random.nextLong(periodMs),
                () -> disconnectTemporarily(maxAwayMs, periodMs));
    }
}
