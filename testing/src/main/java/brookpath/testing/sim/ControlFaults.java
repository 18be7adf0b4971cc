package brookpath.testing.sim;

import static brookpath.testing.sim.ControlFault.KILL_AFTER_SEND;
import static brookpath.testing.sim.MachineFaults.Direction.BOTH;
import static brookpath.testing.sim.MachineFaults.Direction.HEARING;
import static brookpath.testing.sim.MachineFaults.Direction.SENDING;

import brookpath.testing.oracle.control.ControlHistory;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** Brings the troubles of a control day about, each drawn from the day's seed. */
final class ControlFaults implements Operators.Observer {
    private static final long RETIRE_MS = 30_000;
    private static final int STORM_MOST = 300;
    private static final int REFUSED_ORDERS = 500;
    private static final int LOST_PERCENT = 70;

    private final SimulatedCluster cluster;
    private final ControlFleet fleet;
    private final Operators operators;
    private final RetireOperator retirements;
    private final ControlCall calls;
    private final MachineFaults machines;
    /** Waits for the next acknowledgement or change; null for none. */
    private ControlFault armed;

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

    /** No fault begins any more. */
    void stop() {
        stopped = true;
        armed = null;
        calls.loseAnswers(0);
    }

    /** Brings this fault about now, or, where it waits for an order, at the next one; false where it has to wait. */
    boolean causeFault(final ControlFault fault) {
        if (mustWait(fault)) {
            return false;
        }
        cluster.count("control: " + fault);
        if (ControlFault.ON_AN_ORDER.contains(fault)) {
            armed = fault;
            operators.order(true);
        } else if (ControlFault.WITHOUT_LOSS.contains(fault)) {
            cause(fault);
        } else {
            takeOut(fault);
        }
        return true;
    }

    private boolean mustWait(final ControlFault fault) {
        return switch (fault) {
            case STORM, REFUSED_ORDERS -> operators.storming();
            case CLOCK_STEP, RESETS, RACES, ANSWERS_LOST -> cluster.now() < disturbedUntil;
            case RETIRE, RETIRE_THEN_WIPE, WIPE_DURING_RETIRE, POWER_AFTER_RETIRE ->
                cluster.now() < retiringUntil || !machines.allBack() || armed != null;
            default -> !machines.allBack() || armed != null;
        };
    }

    // ---- troubles that take no machine out

    private void cause(final ControlFault fault) {
        final long durationMs = span(2_000, 10_000);
        disturbedUntil = cluster.now() + durationMs;
        switch (fault) {
            case CLOCK_STEP -> {
                final long by = 1_000 + cluster.random.nextLong(9_000);
                machines.clockStep(cluster.random.nextBoolean() ? by : -by, durationMs);
            }
            case RESETS -> machines.resetSessions();
            case STORM ->
                operators.storm(STORM_MOST / 3 + cluster.random.nextInt(STORM_MOST), 20L + cluster.random.nextInt(80));
            case REFUSED_ORDERS -> operators.refusedOrders(REFUSED_ORDERS);
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

    // ---- troubles that take one machine out

    private void takeOut(final ControlFault fault) {
        switch (fault) {
            case CUT_OFF, CUT_SENDING, CUT_HEARING, CUT_FROM_CORE, CUT_FROM_HALF, CUT_SEEDS ->
                cut(fault, controller(), span(9_000, 20_000));
            case FREEZE -> machines.freeze(counted(), span(500, 15_000));
            case KILL -> machines.takeDown(counted(), false, span(300, 20_000));
            case POWER -> machines.takeDown(counted(), true, span(300, 20_000));
            case REPLACE_CONTROLLER -> machines.replace(controller());
            case REPLACE_CONTROLLER_ANNOUNCED -> machines.replaceAnnounced(controller());
            case REUSE_CONTROLLER_ADDRESS -> machines.reuseAddress(controller());
            case REPLACE_STORAGE -> machines.replace(any(fleet.storages()));
            case REUSE_STORAGE_ADDRESS -> machines.reuseAddress(any(fleet.storages()));
            case RETIRE -> retire(by -> {}, () -> {});
            case RETIRE_THEN_WIPE -> retire(by -> {}, this::wipeAnyStorage);
            case WIPE_DURING_RETIRE -> retire(by -> wipeAnyStorage(), () -> {});
            case POWER_AFTER_RETIRE -> retire(this::powerLossAfter, () -> {});
            case SLOW_DISK -> machines.slowDisk(counted(), span(20, 800), span(3_000, 15_000));
            case HANGING_DISK -> {
                final long span = span(3_000, 15_000);
                machines.slowDisk(counted(), span, span);
            }
            case FULL_DISK -> machines.fullDisk(counted(), span(3_000, 10_000));
            case CLOCK_REPEATS -> {
                machines.restartWithRepeatedClock(
                        controller(),
                        any(cluster.gateways.stream()
                                .map(cluster.processes::get)
                                .toList()),
                        3,
                        span(400, 1_500));
                operators.storm(20, 50);
            }
            case ROLLING_RESTART -> machines.rollingRestart(span(400, 1_000));
            default -> throw new IllegalArgumentException(fault.name());
        }
    }

    private void cut(final ControlFault fault, final SimulatedProcess process, final long span) {
        final List<SimulatedProcess> core = machines.others(process, fleet.counted());
        final List<SimulatedProcess> all = machines.others(process, List.copyOf(cluster.processes.values()));
        switch (fault) {
            case CUT_OFF -> machines.cutIncludingCallers(process, span);
            case CUT_SENDING -> machines.cut(process, all, SENDING, span);
            case CUT_HEARING -> machines.cut(process, all, HEARING, span);
            case CUT_FROM_CORE -> machines.cut(process, core, BOTH, span);
            case CUT_FROM_HALF -> {
                final List<SimulatedProcess> half = core.stream()
                        .filter(other -> cluster.random.nextBoolean())
                        .toList();
                machines.cut(process, half, BOTH, span);
            }
            default -> {
                machines.cut(process, core, BOTH, span);
                startOnSeedsOf(process);
            }
        }
        operators.race();
    }

    /** New settings name the one first that is cut off, and gateways start on them. */
    private void startOnSeedsOf(final SimulatedProcess process) {
        final List<Integer> seeds = new ArrayList<>(List.of(process.id));
        machines.others(process, fleet.controllers()).forEach(other -> seeds.add(other.id));
        fleet.seeds(seeds.subList(0, ControlFleet.SEEDS));
        final SimulatedProcess gateway =
                any(cluster.gateways.stream().map(cluster.processes::get).toList());
        cluster.kill(gateway, false);
        cluster.at(cluster.now() + span(200, 1_000), () -> cluster.restart(gateway));
    }

    /** One more storage machine comes, an old one is emptied, and is shut down for good once it holds nothing. */
    private void retire(final Consumer<SimulatedProcess> acknowledged, final Runnable then) {
        retiringUntil = cluster.now() + 2 * RETIRE_MS;
        final SimulatedProcess leaving = any(fleet.storages());
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
                    leaving, fleet.name(leaving.id), cluster.now() + RETIRE_MS, acknowledged, emptied));
        });
    }

    private void wipeAnyStorage() {
        if (!stopped && machines.allBack()) {
            machines.wipe(any(fleet.storages()), span(300, 3_000));
        }
    }

    /** The machine that has just acknowledged, the leader behind it, or all machines lose power. */
    private void powerLossAfter(final SimulatedProcess by) {
        if (stopped || !machines.allBack()) {
            return;
        }
        if (cluster.random.nextBoolean()) {
            machines.takeAllDown(true, true);
        } else {
            final SimulatedProcess leader = fleet.controlLeader();
            machines.takeDown(leader == null ? by : leader, true, span(300, 10_000));
        }
    }

    // ---- troubles that come with an order

    @Override
    public void acknowledged(final SimulatedProcess by) {
        if (armed == null || armed == KILL_AFTER_SEND || !machines.allBack()) {
            return;
        }
        final ControlFault fault = armed;
        armed = null;
        final SimulatedProcess leader = fleet.controlLeader();
        final SimulatedProcess target = leader == null || cluster.random.nextBoolean() ? by : leader;
        cluster.at(cluster.now() + cluster.random.nextInt(5), () -> {
            switch (fault) {
                case POWER_AFTER_ACK -> machines.takeDown(target, true, span(300, 10_000));
                case WIPE_AFTER_ACK -> machines.wipe(target, span(300, 10_000));
                case KILL_ALL -> machines.takeAllDown(false, cluster.random.nextBoolean());
                default -> machines.takeAllDown(true, true);
            }
        });
    }

    @Override
    public void sent(final SimulatedProcess to) {
        if (armed != KILL_AFTER_SEND || !machines.allBack()) {
            return;
        }
        armed = null;
        cluster.at(cluster.now() + span(5, 400), () -> {
            final SimulatedProcess leader = fleet.controlLeader();
            final SimulatedProcess target = leader == null || cluster.random.nextBoolean() ? to : leader;
            if (!stopped && machines.allBack() && !target.goneForGood) {
                machines.takeDown(target, cluster.random.nextBoolean(), span(300, 5_000));
            }
        });
    }

    /**
     * The day's last failure, right after an acknowledgement: all are killed or lose power, or one loses its disk, now
     * and then while all others lose power.
     */
    void close(final Runnable struck) {
        final int kind = cluster.random.nextInt(4);
        cluster.count("control: closed by kind " + kind);
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
                    machines.wipe(by, span(300, 3_000));
                }
                struck.run();
            }

            @Override
            public void sent(final SimulatedProcess to) {
                // why: the last fault comes at an acknowledgement
            }
        });
        operators.order(true);
    }

    // ---- draws

    private long span(final long least, final long most) {
        return least + cluster.random.nextLong(most - least);
    }

    private <T> T any(final List<T> list) {
        return list.get(cluster.random.nextInt(list.size()));
    }

    /** The control leader in every other draw, else any controller. */
    private SimulatedProcess controller() {
        final SimulatedProcess leader = fleet.controlLeader();
        return leader == null || cluster.random.nextBoolean() ? any(fleet.controllers()) : leader;
    }

    private SimulatedProcess counted() {
        return cluster.random.nextInt(3) == 0 ? any(fleet.storages()) : controller();
    }
}
