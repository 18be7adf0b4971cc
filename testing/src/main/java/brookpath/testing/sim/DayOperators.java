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

/** Stand-in operators of a day, who race each other, and what every process shows of what was confirmed to them. */
final class DayOperators {
    private static final long REMOVED_KEY_MS = 5_000;

    private final SimulatedCluster cluster;
    private final Callers callers;
    private final Map<Integer, Long> shown = new HashMap<>();
    private final TreeMap<Long, Long> confirmedAt = new TreeMap<>();
    private final Map<String, Long> removedAt = new HashMap<>();
    private final Map<String, Integer> grantsUnderWay = new HashMap<>();
    private final Set<String> refused = new LinkedHashSet<>();
    private int changes;

    DayOperators(final SimulatedCluster cluster, final Callers callers) {
        this.cluster = cluster;
        this.callers = callers;
    }

    boolean anyConfirmed() {
        return !confirmedAt.isEmpty();
    }

    /** A key was good for something, which it must not be once its removal has been confirmed for long enough. */
    void keyUsed(final String key, final String did) {
        final Long at = removedAt.get(key);
        // why: a change under way may give the key back before its operator hears of it
        if (at != null && grantsUnderWay.getOrDefault(key, 0) == 0 && cluster.now() > at + REMOVED_KEY_MS) {
            cluster.history.violation(
                    cluster.now(),
                    "key " + key + " " + did + " " + (cluster.now() - at) + " ms after its removal was confirmed");
        }
    }

    /** The whole configuration; the keys that may come and go are there where their tenant is in the list. */
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

    /** Hands a document to any controller, again and again under the same ID until it gets a final outcome. */
    void change(final String doc, final String changeId, final Consumer<Response> then) {
        final SimulatedProcess p = callers.anyController();
        final long at = cluster.now();
        callers.ask(p, id -> new NodeRequest.Operate(id, ControlRequestKind.CHANGE, doc.getBytes(UTF_8)), r -> {
            callers.service.requested("change", at, r.status() == 200 || (r.status() >= 400 && r.status() < 500));
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

    /** A change was confirmed to an operator, and has to hold from now on. */
    void confirmed(final long version, final String changeId) {
        cluster.history.confirmed(cluster.now(), version, changeId);
        confirmedAt.putIfAbsent(version, cluster.now());
        cluster.count("changes confirmed");
    }

    /** Two operators race on the newest version that one of them read, now and then with nonsense. */
    void raceOnAndOn(final long every) {
        if (callers.quiet) {
            return;
        }
        final SimulatedProcess p = callers.anyController();
        callers.ask(p, id -> new NodeRequest.Operate(id, ControlRequestKind.CONFIGURATION, new byte[0]), r -> {
            if (r.status() == 200 && !callers.quiet) {
                final long version = Callers.json(r.json()).getInt("version");
                final int racers = 1 + cluster.random.nextInt(2);
                for (int i = 0; i < racers; i++) {
                    turn(version, cluster.random.nextInt(5) == 0);
                }
            }
            cluster.at(cluster.now() + every / 2 + cluster.random.nextLong(every), () -> raceOnAndOn(every));
        });
    }

    /** Two operators hand over different documents made from the same version, at once. */
    void race() {
        readConfiguration(r -> {
            if (r.status() == 200) {
                cluster.count("staged races");
                turn(Callers.json(r.json()).getInt("version"), false);
                turn(Callers.json(r.json()).getInt("version"), false);
            }
        });
    }

    /** An operator's request that nobody waits for. */
    void operate(final String kind, final byte[] body) {
        callers.ask(
                callers.anyController(),
                id -> new NodeRequest.Operate(id, ControlRequestKind.of(kind), body),
                r -> cluster.count(kind + " said " + r.status()));
    }

    /** One change that takes keys away or gives them back, by chance. */
    void turn(final long basedOn, final boolean nonsense) {
        final String changeId = "change-" + ++changes;
        final List<String> keys = Callers.REVOCABLE_TENANTS.stream()
                .filter(t -> cluster.random.nextInt(3) != 0)
                .toList();
        final String doc = document(basedOn, changeId, keys);
        keys.forEach(t -> grantsUnderWay.merge("key-" + t, 1, Integer::sum));
        change(nonsense ? doc.replace("\"keepingSeconds\":30", "\"keepingSeconds\":-3") : doc, changeId, res -> {
            keys.forEach(t -> grantsUnderWay.merge("key-" + t, -1, Integer::sum));
            if (res.status() != 200) {
                return;
            }
            if (nonsense) {
                cluster.history.violation(cluster.now(), changeId + " is nonsense and was confirmed");
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

    /** What every data-plane process shows, against what was confirmed. */
    void watch() {
        for (final SimulatedProcess process : cluster.processes.values()) {
            final ConfigurationClient client = process.alive && !process.frozen() ? clientOf(process) : null;
            if (client != null) {
                checkInTime(process, client.configuration().version());
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

    /** A confirmed version is everywhere within the bound for changes. */
    private void checkInTime(final SimulatedProcess process, final long version) {
        final Map.Entry<Long, Long> missing = confirmedAt.higherEntry(version);
        if (missing != null
                && cluster.now()
                        > Math.max(missing.getValue(), cluster.outages.configurationOutageUntil(process.id))
                                + cluster.timing.changeMs()) {
            violation("node " + process.id + " has configuration " + version + " still, "
                    + (cluster.now() - missing.getValue()) + " ms after " + missing.getKey()
                    + " was confirmed, and is not cut off");
        }
    }

    /** Under a lease no version older than the newest confirmed one is honoured, and none that was rejected. */
    private void checkLeased(final SimulatedProcess process, final Configuration configuration) {
        final long version = configuration.version();
        final Long before = shown.put(process.id, version);
        if (before != null && version < before) {
            violation("node " + process.id + " went back from configuration " + before + " to " + version);
        }
        final Map.Entry<Long, Long> newest = confirmedAt.lastEntry();
        if (newest != null && version < newest.getKey() && cluster.now() > newest.getValue()) {
            violation("node " + process.id + " honours configuration " + version + " while " + newest.getKey()
                    + " was confirmed at " + newest.getValue());
        }
        if (version > 0 && refused.contains(configuration.changeId())) {
            violation("node " + process.id + " honours the rejected change " + configuration.changeId());
        }
    }

    private void violation(final String text) {
        cluster.history.violation(cluster.now(), text);
    }
}
