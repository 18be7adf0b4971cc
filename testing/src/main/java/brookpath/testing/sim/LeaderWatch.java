package brookpath.testing.sim;

import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.node.ControllerNode;
import brookpath.coordination.node.StorageNode;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/** Checks every few milliseconds that at most one member acts as a group's leader. */
final class LeaderWatch {
    static final long PERIOD_MS = 5;

    private static final long NOTE_AFTER_MS = 1_000;
    private static final long NOTE_PERIOD_MS = 500;

    private final SimulatedCluster cluster;
    private final TreeMap<Integer, Long> lastActedAt = new TreeMap<>();
    private final List<Long> leaderlessMs = new ArrayList<>();

    LeaderWatch(final SimulatedCluster cluster) {
        this.cluster = cluster;
    }

    /** How long groups were without an acting leader, each time, in milliseconds. */
    List<Long> leaderlessMs() {
        return leaderlessMs;
    }

    void check() {
        final TreeMap<Integer, Integer> acting = actingLeaders();
        acting.keySet().forEach(this::recordActing);
        lastActedAt.forEach(this::noteLeaderless);
    }

    /** The acting leader of each group that has one. */
    private TreeMap<Integer, Integer> actingLeaders() {
        final TreeMap<Integer, Integer> acting = new TreeMap<>();
        for (final SimulatedProcess process : cluster.processes.values()) {
            // a frozen process does nothing until it resumes, and is checked again then
            if (!process.alive || process.frozen()) {
                continue;
            }
            if (process.node instanceof ControllerNode controller) {
                addIfActing(acting, controller.group(), process);
            } else if (process.node instanceof StorageNode storage) {
                for (int group = 0; group < cluster.groups; group++) {
                    if (storage.group(group) != null) {
                        addIfActing(acting, storage.group(group), process);
                    }
                }
            }
        }
        return acting;
    }

    private void addIfActing(
            final TreeMap<Integer, Integer> acting, final GroupMachine group, final SimulatedProcess process) {
        if (group.mayAct(process.mono())) {
            final Integer other = acting.put(group.id(), process.id);
            if (other != null) {
                cluster.history.violation(
                        cluster.now(),
                        "nodes " + other + " and " + process.id + " both act as leader of group " + group.id());
            }
        }
    }

    private void recordActing(final int group) {
        final long now = cluster.now();
        final Long since = lastActedAt.put(group, now);
        if (since != null && now - since > PERIOD_MS) {
            leaderlessMs.add(now - since);
            if (now - since > cluster.timing.leaderLease() + 2 * cluster.timing.detectionTime()) {
                cluster.note(0, "group " + group + " had no acting leader for " + (now - since) + " ms", false);
            }
        }
    }

    private void noteLeaderless(final int group, final long since) {
        final long leaderless = cluster.now() - since;
        if (leaderless <= NOTE_AFTER_MS || leaderless % NOTE_PERIOD_MS >= PERIOD_MS) {
            return;
        }
        final StringBuilder text = new StringBuilder("group " + group + " has no acting leader:");
        for (final int id : cluster.storages) {
            final SimulatedProcess process = cluster.processes.get(id);
            if (process.alive && process.node instanceof StorageNode storage && storage.group(group) != null) {
                appendState(text, id, storage.group(group));
            }
        }
        cluster.note(0, text.toString(), false);
    }

    private static void appendState(final StringBuilder text, final int node, final GroupMachine group) {
        text.append(" [")
                .append(node)
                .append(" role ")
                .append(group.role())
                .append(" term ")
                .append(group.term())
                .append(" hears ")
                .append(group.leaderHeard())
                .append(": ")
                .append(group.why())
                .append("; ")
                .append(group.obstacle())
                .append(']');
    }
}
