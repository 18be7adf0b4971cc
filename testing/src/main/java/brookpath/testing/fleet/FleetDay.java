package brookpath.testing.fleet;

import brookpath.testing.relay.Relay;
import java.io.IOException;
import java.nio.file.Files;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * A run of real processes under random faults: one fault after another, while concurrent operators revoke and restore
 * the key of the largest tenant and the platform is slow or fails at times. The last fault strikes right before the
 * end. The simulator's oracle checks the run.
 */
final class FleetDay implements AutoCloseable {
    /** The kinds of fault that are injected into a running fleet. */
    enum FleetFault {
        KILL,
        FREEZE,
        RESTART,
        LOSS,
        ONE_WAY,
        RESETS,
        PLATFORM,
        SETTINGS
    }

    private static final int FIRST_GATEWAY = 31;
    private static final long POLL_MS = 50;
    private static final long RECOVERY_TIMEOUT_MS = 60_000;
    private static final long RESTART_TIMEOUT_MS = 15_000;
    private static final long FINAL_CHANGES_MS = 3_000;
    private static final long LOSS_MS = 2_000;
    private static final int CLIENT_RESETS = 20;
    private static final long PLATFORM_FAILURE_NANOS = 4_000_000_000L;
    private static final long INVALID_SETTINGS_MS = 1_500;

    private final Fleet fleet;
    private final CallerLoad load;
    private final LoadProfile profile;
    private final Relay relay;
    private final SplittableRandom random;
    private final UsagePlatform platform;
    private final TreeMap<String, Integer> counts = new TreeMap<>();
    private final FleetOperators operators;

    FleetDay(
            final Fleet fleet,
            final CallerLoad load,
            final LoadProfile profile,
            final Relay relay,
            final UsagePlatform platform,
            final long seed) {
        this.fleet = fleet;
        this.load = load;
        this.profile = profile;
        this.relay = relay;
        this.platform = platform;
        platform.forwardTo(load);
        random = new SplittableRandom(seed);
        operators = new FleetOperators(fleet, load, profile, this::count);
    }

    /** Injects a fault every few seconds, and a last one when the time is up; then restores the whole fleet. */
    void run(final long ms, final List<FleetFault> kinds) throws IOException, InterruptedException {
        operators.start();
        final long end = load.clock() + ms;
        while (load.clock() < end) {
            causeFault(randomElement(kinds));
            Thread.sleep(1_500 + random.nextInt(2_500));
        }
        causeFault(randomElement(kinds));
        recover();
        Thread.sleep(FINAL_CHANGES_MS);
        operators.stop();
        operators.readBack();
        System.out.println("day: " + counts + ", resets " + relay.resets() + ", packets lost " + relay.lost()
                + ", usage reports " + platform.reports() + ", latest "
                + load.history().usage.latest() + " ms after its window");
    }

    private void recover() throws IOException, InterruptedException {
        relay.heal();
        final long healed = load.clock();
        for (final Fleet.FleetProcess process : fleet.processes().values()) {
            if (!process.alive()) {
                process.start(false);
            }
        }
        final double committedAtRecovery = committed() + profile.perSecond();
        while (load.clock() < healed + RECOVERY_TIMEOUT_MS && committed() < committedAtRecovery) {
            Thread.sleep(POLL_MS);
        }
        System.out.println(
                "healed: one second's messages committed after " + (load.clock() - healed) + " ms (bound 12000)");
    }

    private int committed() {
        synchronized (load.history()) {
            return load.history().committed();
        }
    }

    private void count(final String event) {
        synchronized (counts) {
            counts.merge(event, 1, Integer::sum);
        }
    }

    private <T> T randomElement(final List<T> list) {
        return list.get(random.nextInt(list.size()));
    }

    /**
     * Half of the time a storage node, otherwise a controller or a gateway; called only while no other process is down.
     */
    private Fleet.FleetProcess randomTarget() {
        final List<Fleet.FleetProcess> controllers = fleet.processes().values().stream()
                .filter(process -> process.controller)
                .toList();
        final int kind = random.nextInt(10);
        if (kind < 5) {
            return randomElement(fleet.storages());
        }
        return randomElement(kind < 8 ? controllers : fleet.gateways());
    }

    private void causeFault(final FleetFault kind) throws IOException, InterruptedException {
        final Fleet.FleetProcess target = randomTarget();
        count(kind.name());
        switch (kind) {
            case KILL -> kill(target);
            case FREEZE -> freeze(target);
            case RESTART -> restart(target);
            case LOSS -> losePackets();
            case ONE_WAY -> cutOneWay(target);
            case RESETS -> relay.reset(node -> node >= FIRST_GATEWAY, CLIENT_RESETS);
            case PLATFORM -> platform.failFor(PLATFORM_FAILURE_NANOS);
            case SETTINGS -> invalidateSettings(target);
        }
    }

    private void kill(final Fleet.FleetProcess target) throws IOException, InterruptedException {
        target.kill();
        Thread.sleep(500 + random.nextInt(3_000));
        target.start(false);
        awaitRecovered(target);
    }

    private void freeze(final Fleet.FleetProcess target) throws IOException, InterruptedException {
        target.signal("STOP");
        Thread.sleep(600 + random.nextInt(2_500));
        target.signal("CONT");
    }

    private void restart(final Fleet.FleetProcess target) throws IOException, InterruptedException {
        target.stop();
        target.start(false);
        awaitRecovered(target);
    }

    private void losePackets() throws InterruptedException {
        relay.loss(10 + random.nextInt(20));
        Thread.sleep(LOSS_MS);
        relay.heal();
    }

    private void cutOneWay(final Fleet.FleetProcess target) throws InterruptedException {
        for (final Fleet.FleetProcess other : fleet.processes().values()) {
            if (other != target && random.nextInt(3) > 0) {
                relay.cut(target.node, other.node);
            }
        }
        Thread.sleep(1_000 + random.nextInt(2_000));
        relay.heal();
    }

    private static void invalidateSettings(final Fleet.FleetProcess target) throws IOException, InterruptedException {
        final String valid = Files.readString(target.settings());
        Files.writeString(target.settings(), valid.substring(0, valid.length() / 2));
        Thread.sleep(INVALID_SETTINGS_MS);
        Files.writeString(target.settings(), valid);
    }

    /** Waits until the process has recovered, so that the next fault does not meet two failed processes at once. */
    private void awaitRecovered(final Fleet.FleetProcess process) throws InterruptedException {
        final long end = load.clock() + RESTART_TIMEOUT_MS;
        while (load.clock() < end) {
            if (isRecovered(process)) {
                return;
            }
            Thread.sleep(POLL_MS);
        }
        synchronized (load.history()) {
            load.history()
                    .violation(load.clock(), "node " + process.node + " had not recovered 15 s after its restart");
        }
    }

    private boolean isRecovered(final Fleet.FleetProcess process) throws InterruptedException {
        final String status = fleet.get(process, "/v1/status");
        final String ready = fleet.get(process, "/v1/ready");
        return !ready.isEmpty()
                && !status.contains("\"lost\":true")
                && !status.contains("\"master\":0")
                && !status.contains("\"sync\":\"catch-up\"");
    }

    @Override
    public void close() {
        operators.close();
    }
}
