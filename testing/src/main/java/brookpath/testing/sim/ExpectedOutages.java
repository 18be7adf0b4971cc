package brookpath.testing.sim;

import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.group.Member;
import brookpath.coordination.node.ControllerNode;
import brookpath.coordination.node.StorageNode;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * Until when each process, each group and the control plane was expected to be unavailable, derived from the injected
 * faults. These are the only exemptions that the oracles grant: a slow disk, a lossy link, a wrong clock or a kill of
 * another process exempts nothing.
 */
final class ExpectedOutages {
    /** Reasons for which a record may not reach its listeners. */
    enum Outage {
        DOWN,
        CUT_OFF,
        NO_CONTROL,
        NO_GROUP
    }

    private final SimulatedCluster cluster;
    private final TreeMap<Integer, Long> downUntil = new TreeMap<>();
    private final TreeMap<Integer, Long> cutOffUntil = new TreeMap<>();
    private final TreeMap<Integer, TreeMap<Integer, Long>> groupCutOffUntil = new TreeMap<>();
    private final TreeMap<Integer, Long> noGroupUntil = new TreeMap<>();
    private long noControlUntil;
    private long machinesOutUntil;

    ExpectedOutages(final SimulatedCluster cluster) {
        this.cluster = cluster;
    }

    private boolean isRunning(final int id) {
        final SimulatedProcess p = cluster.processes.get(id);
        return p.alive && !p.frozen();
    }

    private boolean connected(final int a, final int b) {
        return a == b || (!cluster.net.isCut(a, b) && !cluster.net.isCut(b, a));
    }

    private List<Integer> connectedTo(final int id, final List<Integer> others) {
        final List<Integer> list = new ArrayList<>();
        for (final int other : others) {
            if (connected(id, other)) {
                list.add(other);
            }
        }
        return list;
    }

    /** The running members that are connected to a majority of the members. */
    private List<Integer> core(final List<Integer> members) {
        final List<Integer> running = new ArrayList<>();
        for (final int id : members) {
            if (isRunning(id) && !isRebuilding(id)) {
                running.add(id);
            }
        }
        final List<Integer> core = new ArrayList<>();
        for (final int id : running) {
            if (connectedTo(id, running).size() > members.size() / 2) {
                core.add(id);
            }
        }
        return core;
    }

    private boolean isRebuilding(final int id) {
        return cluster.processes.get(id).node instanceof ControllerNode controller
                && controller.group().lost();
    }

    /** Records that a process went down between two checks. */
    void recordDown(final SimulatedProcess p) {
        downUntil.put(p.id, cluster.now());
        machinesOutUntil = cluster.now();
    }

    void watch() {
        final long now = cluster.now();
        final List<Integer> control = core(cluster.controllers);
        if (control.size() < 2) {
            noControlUntil = now;
        }
        final boolean cuts = cluster.net.anyCut();
        for (final SimulatedProcess p : cluster.processes.values()) {
            if (!p.alive || p.frozen()) {
                downUntil.put(p.id, now);
                machinesOutUntil = p.goneForGood ? machinesOutUntil : now;
            } else if (cuts && connectedTo(p.id, control).size() < 2) {
                cutOffUntil.put(p.id, now);
            }
        }
        // one slow disk exempts nothing; two at once exceed the one machine whose loss must be survived
        final long slow = cluster.storages.stream()
                .filter(id -> cluster.processes.get(id).syncMs > 50)
                .count();
        machinesOutUntil = cuts || slow > 1 ? now : machinesOutUntil;
        for (int g = 0; g < cluster.groups; g++) {
            watchGroup(g, control, cuts, now);
        }
    }

    private void watchGroup(final int g, final List<Integer> control, final boolean cuts, final long now) {
        List<Integer> members = List.of();
        for (final int id : cluster.storages) {
            final GroupMachine m = cluster.processes.get(id).node instanceof StorageNode s ? s.group(g) : null;
            if (m != null && members.isEmpty() && isRunning(id)) {
                members = m.members().stream().map(Member::node).toList();
            }
        }
        final List<Integer> core = new ArrayList<>();
        for (final int id : core(members)) {
            if (connectedTo(id, control).size() >= 2) {
                core.add(id);
            }
        }
        if (core.size() <= members.size() / 2) {
            noGroupUntil.put(g, now);
        }
        if (cuts) {
            for (final int gateway : cluster.gateways) {
                if (connectedTo(gateway, core).size() <= members.size() / 2) {
                    groupCutOffUntil
                            .computeIfAbsent(gateway, k -> new TreeMap<>())
                            .put(g, now);
                }
            }
        }
    }

    /** The latest time at which this process was exempt from having the newest configuration. */
    long configurationOutageUntil(final int id) {
        return Math.max(noControlUntil, Math.max(downUntil.getOrDefault(id, 0L), cutOffUntil.getOrDefault(id, 0L)));
    }

    long noControlUntil() {
        return noControlUntil;
    }

    /** The latest time at which each kind of outage kept this gateway from delivering the group's records. */
    TreeMap<Outage, Long> deliveryOutages(final int gateway, final int group) {
        final TreeMap<Outage, Long> until = new TreeMap<>();
        until.put(Outage.DOWN, downUntil.getOrDefault(gateway, 0L));
        until.put(
                Outage.CUT_OFF,
                Math.max(
                        cutOffUntil.getOrDefault(gateway, 0L),
                        groupCutOffUntil.getOrDefault(gateway, new TreeMap<>()).getOrDefault(group, 0L)));
        until.put(Outage.NO_CONTROL, noControlUntil);
        until.put(Outage.NO_GROUP, noGroupUntil.getOrDefault(group, 0L));
        return until;
    }

    /**
     * The latest time at which a machine that is to come back was down or frozen, any link was cut, or more than one
     * disk was slow.
     */
    long machinesOutUntil() {
        return machinesOutUntil;
    }
}
