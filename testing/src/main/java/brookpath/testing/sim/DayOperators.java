package brookpath.testing.sim;

import static java.nio.charset.StandardCharsets.UTF_8;

import brookpath.coordination.configuration.Configuration;
import brookpath.coordination.configuration.ConfigurationClient;
import brookpath.coordination.message.ControlRequestKind;
import brookpath.coordination.message.Response;
import brookpath.coordination.node.GatewayNode;
import brookpath.coordination.node.NodeRequest;
import brookpath.coordination.node.StorageNode;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;

/** Simulated operators, whose changes race each other; checks each process against the changes confirmed to them. */
final class DayOperators {
    private static final long REVOCATION_BOUND_MS = 5_000;

    private final SimulatedCluster cluster;
    private final Callers callers;
    private final Map<Integer, Long> lastLeasedVersions = new HashMap<>();
    private final TreeMap<Long, Long> confirmedAt = new TreeMap<>();
    private final Map<String, Long> removedAt = new HashMap<>();
    private final Map<String, Integer> pendingGrants = new HashMap<>();
    private final Set<String> refused = new LinkedHashSet<>();
    private int changes;

    DayOperators(final SimulatedCluster cluster, final Callers callers) {
        this.cluster = cluster;
        this.callers = callers;
    }

    boolean anyConfirmed() {
        return !confirmedAt.isEmpty();
    }

    /** Checks a successful use of a key: a key must stop working within a bound after its removal was confirmed. */
    void checkKeyUse(final String key, final String use) {
        final Long at = removedAt.get(key);
        // a pending change may restore the key before its operator gets the response
        if (at != null && pendingGrants.getOrDefault(key, 0) == 0 && cluster.now() > at + REVOCATION_BOUND_MS) {
            cluster.history.violation(
                    cluster.now(),
                    "key " + key + " " + use + " " + (cluster.now() - at) + " ms after its removal was confirmed");
        }
    }

    /** A whole configuration document; a revocable key is in it where its tenant is in the list. */
    String document(final long basedOn, final String changeId, final List<String> withKeys) {
        final StringBuilder sb =
                new StringBuilder("{\"basedOn\":" + basedOn + ",\"changeId\":\"" + changeId + "\",\"spaces\":[");
        for (int i = 0; i < Callers.SPACES.length; i++) {
            sb.append(i == 0 ? "" : ",")
                    .append("{\"name\":\"")
                    .append(Callers.SPACES[i])
                    .append("\",\"keepingSeconds\":" + Callers.RETENTION_MS / 1_000 + ",\"order\":\"")
                    .append(Callers.SPACES[i].equals("clues") ? "one" : "sender")
                    .append("\"}");
        }
        sb.append("],\"tenants\":[");
        for (final String t : callers.tenants()) {
            sb.append(t.equals("members") ? "" : ",")
                    .append("{\"name\":\"")
                    .append(t)
                    .append("\",\"spaces\":[")
                    .append(t.equals("guest") ? "\"permits\"" : "\"permits\",\"closures\",\"clues\"")
                    .append("],\"keys\":[")
                    .append(Callers.REVOCABLE_TENANTS.contains(t) && !withKeys.contains(t) ? "" : "\"key-" + t + "\"")
                    .append("]}");
        }
        return sb.append("]}").toString();
    }

    String document(final long basedOn, final String changeId, final boolean withGuest) {
        return document(basedOn, changeId, withGuest ? Callers.REVOCABLE_TENANTS : List.of("half"));
    }

    /** Sends a document to any controller, and retries with the same change ID until it gets a final outcome. */
    void change(final String doc, final String changeId, final Consumer<Response> then) {
        final SimulatedProcess p = callers.anyController();
        final long at = cluster.now();
        callers.ask(p, id -> new NodeRequest.Operate(id, ControlRequestKind.CHANGE, doc.getBytes(UTF_8)), r -> {
            callers.availability.recordRequest(
                    "change", at, r.status() == 200 || (r.status() >= 400 && r.status() < 500));
            if (r.status() == 200) {
                final long version = Callers.json(r.json()).getInt("version");
                confirmed(version, changeId);
                then.accept(r);
            } else if (r.status() == 409 || r.status() == 422 || r.status() == 400) {
                cluster.count("changes refused");
                refused.add(changeId);
                then.accept(r);
            } else {
                cluster.at(cluster.now() + 200 + cluster.random.nextInt(500), () -> change(doc, changeId, then));
            }
        });
    }

    /** Records a change that was confirmed to an operator and must hold from now on. */
    void confirmed(final long version, final String changeId) {
        cluster.history.confirmed(cluster.now(), version, changeId);
        confirmedAt.putIfAbsent(version, cluster.now());
        cluster.count("changes confirmed");
    }

    /** Sends one or two changes based on the newest version that was read, some of them invalid; repeats this. */
    void raceRepeatedly(final long periodMs) {
        if (callers.quiet) {
            return;
        }
        final SimulatedProcess p = callers.anyController();
        callers.ask(p, id -> new NodeRequest.Operate(id, ControlRequestKind.CONFIGURATION, new byte[0]), r -> {
            if (r.status() == 200 && !callers.quiet) {
                final long version = Callers.json(r.json()).getInt("version");
                final int racers = 1 + cluster.random.nextInt(2);
                for (int i = 0; i < racers; i++) {
                    sendRandomChange(version, cluster.random.nextInt(5) == 0);
                }
            }
            cluster.at(
                    cluster.now() + periodMs / 2 + cluster.random.nextLong(periodMs), () -> raceRepeatedly(periodMs));
        });
    }

    /** Sends two different changes based on the same version at once. */
    void race() {
        readConfiguration(r -> {
            if (r.status() == 200) {
                cluster.count("staged races");
                sendRandomChange(Callers.json(r.json()).getInt("version"), false);
                sendRandomChange(Callers.json(r.json()).getInt("version"), false);
            }
        });
    }

    /** Sends an operator's request and only counts its response. */
    void operate(final String kind, final byte[] body) {
        callers.ask(
                callers.anyController(),
                id -> new NodeRequest.Operate(id, ControlRequestKind.of(kind), body),
                r -> cluster.count(kind + " answered " + r.status()));
    }

    /** Sends one change that revokes or restores each revocable key at random. */
    void sendRandomChange(final long basedOn, final boolean invalid) {
        final String changeId = "change-" + ++changes;
        final List<String> keys = Callers.REVOCABLE_TENANTS.stream()
                .filter(t -> cluster.random.nextInt(3) != 0)
                .toList();
        final String doc = document(basedOn, changeId, keys);
        keys.forEach(t -> pendingGrants.merge("key-" + t, 1, Integer::sum));
        change(invalid ? doc.replace("\"keepingSeconds\":30", "\"keepingSeconds\":-3") : doc, changeId, res -> {
            keys.forEach(t -> pendingGrants.merge("key-" + t, -1, Integer::sum));
            if (res.status() != 200) {
                return;
            }
            if (invalid) {
                cluster.history.violation(cluster.now(), changeId + " is invalid and was confirmed");
            }
            if (Callers.json(res.json()).getInt("version") == cluster.history.newestConfirmed()) {
                for (final String t : Callers.REVOCABLE_TENANTS) {
                    if (keys.contains(t)) {
                        removedAt.remove("key-" + t);
                    } else {
                        removedAt.putIfAbsent("key-" + t, cluster.now());
                    }
                }
            }
        });
    }

    void readConfiguration(final Consumer<Response> then) {
        final SimulatedProcess p = callers.anyController();
        callers.ask(p, id -> new NodeRequest.Operate(id, ControlRequestKind.CONFIGURATION, new byte[0]), then);
    }

    /** Checks the configuration of every data-plane process against the confirmed changes. */
    void watch() {
        for (final SimulatedProcess process : cluster.processes.values()) {
            final ConfigurationClient client = process.alive && !process.frozen() ? clientOf(process) : null;
            if (client != null) {
                checkWithinBound(process, client.configuration().version());
                if (client.leased(process.mono())) {
                    checkLeased(process, client.configuration());
                }
            }
        }
    }

    private static ConfigurationClient clientOf(final SimulatedProcess process) {
        if (process.node instanceof GatewayNode gateway) {
            return gateway.client();
        }
        return process.node instanceof StorageNode storage ? storage.client() : null;
    }

    /** Checks that a confirmed version reaches every process within the bound for changes. */
    private void checkWithinBound(final SimulatedProcess process, final long version) {
        final Map.Entry<Long, Long> missing = confirmedAt.higherEntry(version);
        if (missing != null
                && cluster.now()
                        > Math.max(missing.getValue(), cluster.outages.configurationOutageUntil(process.id))
                                + cluster.timing.changeMs()) {
            violation("node " + process.id + " still has configuration " + version + ", "
                    + (cluster.now() - missing.getValue()) + " ms after " + missing.getKey()
                    + " was confirmed, although nothing kept it from getting that");
        }
    }

    /** Checks that a process with a lease uses no version older than the newest confirmed one, and no rejected one. */
    private void checkLeased(final SimulatedProcess process, final Configuration configuration) {
        final long version = configuration.version();
        final Long before = lastLeasedVersions.put(process.id, version);
        if (before != null && version < before) {
            violation("node " + process.id + " went back from configuration " + before + " to " + version);
        }
        final Map.Entry<Long, Long> newest = confirmedAt.lastEntry();
        if (newest != null && version < newest.getKey() && cluster.now() > newest.getValue()) {
            violation("node " + process.id + " uses configuration " + version + " while " + newest.getKey()
                    + " was confirmed at " + newest.getValue());
        }
        if (version > 0 && refused.contains(configuration.changeId())) {
            violation("node " + process.id + " uses the rejected change " + configuration.changeId());
        }
    }

    private void violation(final String text) {
        cluster.history.violation(cluster.now(), text);
    }
}
