package brookpath.testing.sim;

import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.group.Member;
import brookpath.coordination.node.ControllerNode;
import brookpath.coordination.node.StorageNode;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * Until when each process, each group and the control plane was unavailable, as a bystander sees it who knows the
 * faults and nothing else. These are the only exemptions that the oracles take; a slow disk, a lossy link, a wrong
 * clock or a mere kill of somebody else exempts nothing.
 */
final class ExpectedOutages {
    /** What may keep a record from its listeners. */
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

    private boolean works(final int id) {
        final SimulatedProcess p = cluster.processes.get(id);
        return p.alive && !p.frozen();
    }

    private boolean joined(final int a, final int b) {
        return a == b || (!cluster.net.isCut(a, b) && !cluster.net.isCut(b, a));
    }

    private List<Integer> joinedTo(final int id, final List<Integer> some) {
        final List<Integer> list = new ArrayList<>();
        for (final int other : some) {
            if (joined(id, other)) {
                list.add(other);
            }
        }
        return list;
    }

    /** Those that work and reach a majority of the members that work too. */
    private List<Integer> core(final List<Integer> members) {
        final List<Integer> working = new ArrayList<>();
        for (final int id : members) {
            if (works(id) && !rebuilt(id)) {
                working.add(id);
            }
        }
        final List<Integer> core = new ArrayList<>();
        for (final int id : working) {
            if (joinedTo(id, working).size() > members.size() / 2) {
                core.add(id);
            }
        }
        return core;
    }

    private boolean rebuilt(final int id) {
        return cluster.processes.get(id).node instanceof ControllerNode b
                && b.group().lost();
    }

    /** Went down between two checks. */
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
            } else if (cuts && joinedTo(p.id, control).size() < 2) {
                cutOffUntil.put(p.id, now);
            }
        }
        // why: one slow disk exempts nothing; two at once are more than the one machine whose loss must be survived
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
            if (m != null && members.isEmpty() && works(id)) {
                members = m.members().stream().map(Member::node).toList();
            }
        }
        final List<Integer> core = new ArrayList<>();
        for (final int id : core(members)) {
            if (joinedTo(id, control).size() >= 2) {
                core.add(id);
            }
        }
        if (core.size() <= members.size() / 2) {
            noGroupUntil.put(g, now);
        }
        if (cuts) {
            for (final int gateway : cluster.gateways) {
                if (joinedTo(gateway, core).size() <= members.size() / 2) {
                    groupCutOffUntil
                            .computeIfAbsent(gateway, k -> new TreeMap<>())
                            .put(g, now);
                }
            }
        }
    }

    /** The latest instant at which something exempted this process from knowing the newest configuration. */
    long configurationOutageUntil(final int id) {
        return Math.max(noControlUntil, Math.max(downUntil.getOrDefault(id, 0L), cutOffUntil.getOrDefault(id, 0L)));
    }

    long noControlUntil() {
        return noControlUntil;
    }

    /** The latest instant at which something kept this gateway from delivering the group's records, by what. */
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

    /** The latest instant at which any machine that is to come back was down, frozen or cut from any other. */
    long machinesOutUntil() {
        return machinesOutUntil;
    }
}
