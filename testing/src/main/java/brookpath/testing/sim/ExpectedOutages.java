package brookpath.testing.sim;

import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.group.Member;
import brookpath.coordination.node.ControllerNode;
import brookpath.coordination.node.StorageNode;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * Until when each process, each group and the control plane was unwell, as a bystander sees it who knows the failures
 * and nothing else. These are the only excuses that the judges take; a slow disk, a lossy link, a wrong clock or a mere
 * kill of somebody else excuses nothing.
 */
final class ExpectedOutages {
    /** What may excuse a judgement. */
    enum Excuse {
        DOWN,
        CUT_OFF,
        NO_CONTROL,
        NO_GROUP
    }

    private final SimulatedCluster world;
    private final TreeMap<Integer, Long> downUntil = new TreeMap<>();
    private final TreeMap<Integer, Long> cutOffUntil = new TreeMap<>();
    private final TreeMap<Integer, TreeMap<Integer, Long>> groupCutOffUntil = new TreeMap<>();
    private final TreeMap<Integer, Long> noGroupUntil = new TreeMap<>();
    private long noControlUntil;
    private long machinesOutUntil;

    ExpectedOutages(final SimulatedCluster world) {
        this.world = world;
    }

    private boolean works(final int id) {
        final SimulatedProcess p = world.processes.get(id);
        return p.alive && !p.frozen();
    }

    private boolean joined(final int a, final int b) {
        return a == b || (!world.net.isCut(a, b) && !world.net.isCut(b, a));
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
        return world.processes.get(id).node instanceof ControllerNode b
                && b.group().lost();
    }

    /** Seen between two looks. */
    void down(final SimulatedProcess p) {
        downUntil.put(p.id, world.now());
        machinesOutUntil = world.now();
    }

    void watch() {
        final long now = world.now();
        final List<Integer> control = core(world.controllers);
        if (control.size() < 2) {
            noControlUntil = now;
        }
        final boolean cuts = world.net.anyCut();
        for (final SimulatedProcess p : world.processes.values()) {
            if (!p.alive || p.frozen()) {
                downUntil.put(p.id, now);
                machinesOutUntil = p.goneForGood ? machinesOutUntil : now;
            } else if (cuts && joinedTo(p.id, control).size() < 2) {
                cutOffUntil.put(p.id, now);
            }
        }
        // why: one slow disk excuses nothing; two at once are more than the one machine whose loss must be survived
        final long slow = world.storages.stream()
                .filter(id -> world.processes.get(id).syncMs > 50)
                .count();
        machinesOutUntil = cuts || slow > 1 ? now : machinesOutUntil;
        for (int g = 0; g < world.groups; g++) {
            watchGroup(g, control, cuts, now);
        }
    }

    private void watchGroup(final int g, final List<Integer> control, final boolean cuts, final long now) {
        List<Integer> members = List.of();
        for (final int id : world.storages) {
            final GroupMachine m = world.processes.get(id).node instanceof StorageNode s ? s.group(g) : null;
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
            for (final int gateway : world.gateways) {
                if (joinedTo(gateway, core).size() <= members.size() / 2) {
                    groupCutOffUntil
                            .computeIfAbsent(gateway, k -> new TreeMap<>())
                            .put(g, now);
                }
            }
        }
    }

    /** The latest instant at which something excused this process from knowing the newest configuration. */
    long configurationExcusedUntil(final int id) {
        return Math.max(noControlUntil, Math.max(downUntil.getOrDefault(id, 0L), cutOffUntil.getOrDefault(id, 0L)));
    }

    long noControlUntil() {
        return noControlUntil;
    }

    /** The latest instant at which something kept this gateway from delivering the group's records, by what. */
    TreeMap<Excuse, Long> deliveryExcuses(final int gateway, final int group) {
        final TreeMap<Excuse, Long> until = new TreeMap<>();
        until.put(Excuse.DOWN, downUntil.getOrDefault(gateway, 0L));
        until.put(
                Excuse.CUT_OFF,
                Math.max(
                        cutOffUntil.getOrDefault(gateway, 0L),
                        groupCutOffUntil.getOrDefault(gateway, new TreeMap<>()).getOrDefault(group, 0L)));
        until.put(Excuse.NO_CONTROL, noControlUntil);
        until.put(Excuse.NO_GROUP, noGroupUntil.getOrDefault(group, 0L));
        return until;
    }

    /** The latest instant at which any machine that is to come back was down, frozen or cut from any other. */
    long machinesOutUntil() {
        return machinesOutUntil;
    }
}
