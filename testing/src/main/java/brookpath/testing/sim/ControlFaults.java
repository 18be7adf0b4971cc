package brookpath.testing.sim;

import static brookpath.testing.sim.ControlFault.KILL_AFTER_SEND;
import static brookpath.testing.sim.MachineFaults.Direction.BOTH;
import static brookpath.testing.sim.MachineFaults.Direction.HEARING;
import static brookpath.testing.sim.MachineFaults.Direction.SENDING;

import brookpath.testing.oracle.control.ControlHistory;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** Injects the faults of a control day, which follow from the day's seed. */
final class ControlFaults implements Operators.Observer {
    private static final long RETIREMENT_TIMEOUT_MS = 30_000;
    private static final int MAX_STORM_CHANGES = 300;
    private static final int REFUSED_CHANGES = 500;
    private static final int LOST_PERCENT = 70;

    private final SimulatedCluster cluster;
    private final ControlFleet fleet;
    private final Operators operators;
    private final RetireOperator retirements;
    private final ControlCall calls;
    private final MachineFaults machines;
    /** The fault to inject at the next acknowledgement or sent change; null for none. */
    private ControlFault pendingFault;

    private long retiringUntil;
    private long disturbedUntil;
    private boolean stopped;

    ControlFaults(
            final SimulatedCluster cluster,
            final ControlFleet fleet,
            final ControlHistory history,
            final Operators operators,
            final RetireOperator retirements,
            final ControlCall calls) {
        this.cluster = cluster;
        this.fleet = fleet;
        this.operators = operators;
        this.retirements = retirements;
        this.calls = calls;
        machines = new MachineFaults(cluster, fleet, history, calls);
        operators.observer(this);
    }

    MachineFaults machines() {
        return machines;
    }

    /** Injects no further faults. */
    void stop() {
        stopped = true;
        pendingFault = null;
        calls.loseAnswers(0);
    }

    /** Injects the fault now, or at the next change if its kind requires one; false if that is not possible yet. */
    boolean causeFault(final ControlFault fault) {
        if (mustWait(fault)) {
            return false;
        }
        cluster.count("control: " + fault);
        if (ControlFault.ON_A_CHANGE.contains(fault)) {
            pendingFault = fault;
            operators.order(true);
        } else if (ControlFault.WITHOUT_OUTAGE.contains(fault)) {
            disturb(fault);
        } else {
            injectOutage(fault);
        }
        return true;
    }

    private boolean mustWait(final ControlFault fault) {
        return switch (fault) {
            case STORM, REFUSED_ORDERS -> operators.storming();
            case CLOCK_STEP, RESETS, RACES, ANSWERS_LOST -> cluster.now() < disturbedUntil;
            case RETIRE, RETIRE_THEN_WIPE, WIPE_DURING_RETIRE, POWER_AFTER_RETIRE ->
                cluster.now() < retiringUntil || !machines.allBack() || pendingFault != null;
            default -> !machines.allBack() || pendingFault != null;
        };
    }

    // ---- faults without an outage

    private void disturb(final ControlFault fault) {
        final long durationMs = randomMs(2_000, 10_000);
        disturbedUntil = cluster.now() + durationMs;
        switch (fault) {
            case CLOCK_STEP -> {
                final long by = 1_000 + cluster.random.nextLong(9_000);
                machines.clockStep(cluster.random.nextBoolean() ? by : -by, durationMs);
            }
            case RESETS -> machines.resetSessions();
            case STORM ->
                operators.storm(
                        MAX_STORM_CHANGES / 3 + cluster.random.nextInt(MAX_STORM_CHANGES),
                        20L + cluster.random.nextInt(80));
            case REFUSED_ORDERS -> operators.refusedOrders(REFUSED_CHANGES);
            case RACES -> {
                for (int i = 0; i < 5; i++) {
                    cluster.at(cluster.now() + 400L * i, operators::race);
                }
            }
            case ANSWERS_LOST -> {
                calls.loseAnswers(LOST_PERCENT);
                cluster.at(cluster.now() + durationMs, () -> calls.loseAnswers(0));
            }
            default -> throw new IllegalArgumentException(fault.name());
        }
    }

    // ---- faults with an outage of one machine

    private void injectOutage(final ControlFault fault) {
        switch (fault) {
            case CUT_OFF, CUT_SENDING, CUT_HEARING, CUT_FROM_CORE, CUT_FROM_HALF, CUT_SEEDS ->
                cut(fault, anyController(), randomMs(9_000, 20_000));
            case FREEZE -> machines.freeze(anyCounted(), randomMs(500, 15_000));
            case KILL -> machines.takeDown(anyCounted(), false, randomMs(300, 20_000));
            case POWER -> machines.takeDown(anyCounted(), true, randomMs(300, 20_000));
            case REPLACE_CONTROLLER -> machines.replace(anyController());
            case REPLACE_CONTROLLER_ANNOUNCED -> machines.replaceAnnounced(anyController());
            case REUSE_CONTROLLER_ADDRESS -> machines.reuseAddress(anyController());
            case REPLACE_STORAGE -> machines.replace(anyOf(fleet.storages()));
            case REUSE_STORAGE_ADDRESS -> machines.reuseAddress(anyOf(fleet.storages()));
            case RETIRE -> retire(by -> {}, () -> {});
            case RETIRE_THEN_WIPE -> retire(by -> {}, this::wipeAnyStorageNode);
            case WIPE_DURING_RETIRE -> retire(by -> wipeAnyStorageNode(), () -> {});
            case POWER_AFTER_RETIRE -> retire(this::losePowerAfter, () -> {});
            case SLOW_DISK -> machines.slowDisk(anyCounted(), randomMs(20, 800), randomMs(3_000, 15_000));
            case HANGING_DISK -> {
                final long durationMs = randomMs(3_000, 15_000);
                machines.slowDisk(anyCounted(), durationMs, durationMs);
            }
            case FULL_DISK -> machines.fullDisk(anyCounted(), randomMs(3_000, 10_000));
            case CLOCK_REPEATS -> {
                machines.restartWithRepeatedClock(
                        anyController(),
                        anyOf(cluster.gateways.stream()
                                .map(cluster.processes::get)
                                .toList()),
                        3,
                        randomMs(400, 1_500));
                operators.storm(20, 50);
            }
            case ROLLING_RESTART -> machines.rollingRestart(randomMs(400, 1_000));
            default -> throw new IllegalArgumentException(fault.name());
        }
    }

    private void cut(final ControlFault fault, final SimulatedProcess process, final long durationMs) {
        final List<SimulatedProcess> core = machines.others(process, fleet.counted());
        final List<SimulatedProcess> all = machines.others(process, List.copyOf(cluster.processes.values()));
        switch (fault) {
            case CUT_OFF -> machines.cutIncludingCallers(process, durationMs);
            case CUT_SENDING -> machines.cut(process, all, SENDING, durationMs);
            case CUT_HEARING -> machines.cut(process, all, HEARING, durationMs);
            case CUT_FROM_CORE -> machines.cut(process, core, BOTH, durationMs);
            case CUT_FROM_HALF -> {
                final List<SimulatedProcess> half = core.stream()
                        .filter(other -> cluster.random.nextBoolean())
                        .toList();
                machines.cut(process, half, BOTH, durationMs);
            }
            default -> {
                machines.cut(process, core, BOTH, durationMs);
                restartGatewayWithSeed(process);
            }
        }
        operators.race();
    }

    /** Writes settings that name the isolated controller first, and restarts a gateway with them. */
    private void restartGatewayWithSeed(final SimulatedProcess isolated) {
        final List<Integer> seeds = new ArrayList<>(List.of(isolated.id));
        machines.others(isolated, fleet.controllers()).forEach(other -> seeds.add(other.id));
        fleet.seeds(seeds.subList(0, ControlFleet.SEEDS));
        final SimulatedProcess gateway =
                anyOf(cluster.gateways.stream().map(cluster.processes::get).toList());
        cluster.kill(gateway, false);
        cluster.at(cluster.now() + randomMs(200, 1_000), () -> cluster.restart(gateway));
    }

    /** Adds a storage node, retires another one, and shuts that down permanently once it holds no replicas. */
    private void retire(final Consumer<SimulatedProcess> acknowledged, final Runnable then) {
        retiringUntil = cluster.now() + 2 * RETIREMENT_TIMEOUT_MS;
        final SimulatedProcess leaving = anyOf(fleet.storages());
        machines.addStorage(leaving.zone);
        cluster.at(cluster.now() + MachineFaults.CATCH_UP_MS, () -> {
            if (leaving.goneForGood || stopped) {
                return;
            }
            final Runnable emptied = () -> {
                retiringUntil = cluster.now();
                if (!stopped) {
                    machines.remove(leaving);
                    then.run();
                }
            };
            retirements.retire(new RetireOperator.Retirement(
                    leaving, fleet.name(leaving.id), cluster.now() + RETIREMENT_TIMEOUT_MS, acknowledged, emptied));
        });
    }

    private void wipeAnyStorageNode() {
        if (!stopped && machines.allBack()) {
            machines.wipe(anyOf(fleet.storages()), randomMs(300, 3_000));
        }
    }

    /** All machines lose power, or the control leader does; without one, the controller that acknowledged. */
    private void losePowerAfter(final SimulatedProcess by) {
        if (stopped || !machines.allBack()) {
            return;
        }
        if (cluster.random.nextBoolean()) {
            machines.takeAllDown(true, true);
        } else {
            final SimulatedProcess leader = fleet.controlLeader();
            machines.takeDown(leader == null ? by : leader, true, randomMs(300, 10_000));
        }
    }

    // ---- faults at an acknowledgement or a sent change

    @Override
    public void acknowledged(final SimulatedProcess by) {
        if (pendingFault == null || pendingFault == KILL_AFTER_SEND || !machines.allBack()) {
            return;
        }
        final ControlFault fault = pendingFault;
        pendingFault = null;
        final SimulatedProcess leader = fleet.controlLeader();
        final SimulatedProcess target = leader == null || cluster.random.nextBoolean() ? by : leader;
        cluster.at(cluster.now() + cluster.random.nextInt(5), () -> {
            switch (fault) {
                case POWER_AFTER_ACK -> machines.takeDown(target, true, randomMs(300, 10_000));
                case WIPE_AFTER_ACK -> machines.wipe(target, randomMs(300, 10_000));
                case KILL_ALL -> machines.takeAllDown(false, cluster.random.nextBoolean());
                default -> machines.takeAllDown(true, true);
            }
        });
    }

    @Override
    public void sent(final SimulatedProcess to) {
        if (pendingFault != KILL_AFTER_SEND || !machines.allBack()) {
            return;
        }
        pendingFault = null;
        cluster.at(cluster.now() + randomMs(5, 400), () -> {
            final SimulatedProcess leader = fleet.controlLeader();
            final SimulatedProcess target = leader == null || cluster.random.nextBoolean() ? to : leader;
            if (!stopped && machines.allBack() && !target.goneForGood) {
                machines.takeDown(target, cluster.random.nextBoolean(), randomMs(300, 5_000));
            }
        });
    }

    /**
     * Injects the last fault of the day right after an acknowledgement: all counted machines are killed, all machines
     * lose power, or one machine loses its disk, either alone or while all counted machines lose power.
     */
    void injectClosingFault(final Runnable injected) {
        final int kind = cluster.random.nextInt(4);
        cluster.count("control: closing fault of kind " + kind);
        operators.observer(new Operators.Observer() {
            @Override
            public void acknowledged(final SimulatedProcess by) {
                operators.observer(null);
                if (kind == 0) {
                    machines.takeAllDown(false, false);
                } else if (kind == 1) {
                    machines.takeAllDown(true, true);
                } else {
                    if (kind == 3) {
                        machines.takeAllDown(true, false);
                    }
                    machines.wipe(by, randomMs(300, 3_000));
                }
                injected.run();
            }

            @Override
            public void sent(final SimulatedProcess to) {
                // The closing fault is injected at an acknowledgement only.
            }
        });
        operators.order(true);
    }

    // ---- random choices

    private long randomMs(final long min, final long limit) {
        return min + cluster.random.nextLong(limit - min);
    }

    private <T> T anyOf(final List<T> list) {
        return list.get(cluster.random.nextInt(list.size()));
    }

    /** The control leader in half of the cases, otherwise any controller. */
    private SimulatedProcess anyController() {
        final SimulatedProcess leader = fleet.controlLeader();
        return leader == null || cluster.random.nextBoolean() ? anyOf(fleet.controllers()) : leader;
    }

    private SimulatedProcess anyCounted() {
        return cluster.random.nextInt(3) == 0 ? anyOf(fleet.storages()) : anyController();
    }
}
