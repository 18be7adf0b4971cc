package brookpath.testing.fleet;

import brookpath.testing.relay.Relay;
import java.io.IOException;
import java.nio.file.Files;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * A day of real processes: the brief's failures one after another and over each other, racing operators all along who
 * take the key of half of the sessions away and give it back, a platform that is slow and down at times, and a failure
 * at the end. The simulator's oracle checks it.
 */
final class FleetDay implements AutoCloseable {
    /** The kinds of failure, by what they do to a running fleet. */
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
    private static final long LAST_CHANGES_MS = 3_000;
    private static final long LOSS_MS = 2_000;
    private static final int CLIENT_RESETS = 20;
    private static final long PLATFORM_TROUBLE_NANOS = 4_000_000_000L;
    private static final long BROKEN_SETTINGS_MS = 1_500;

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
        platform.verifyAgainst(load);
        random = new SplittableRandom(seed);
        operators = new FleetOperators(fleet, load, profile, this::count);
    }

    /** Strikes every few seconds until the time is up, the last time right before; then all machines come back. */
    void live(final long ms, final List<FleetFault> kinds) throws IOException, InterruptedException {
        operators.start();
        final long end = load.clock() + ms;
        while (load.clock() < end) {
            causeFault(any(kinds));
            Thread.sleep(1_500 + random.nextInt(2_500));
        }
        causeFault(any(kinds));
        recover();
        Thread.sleep(LAST_CHANGES_MS);
        operators.stop();
        operators.readBack();
        System.out.println("day: " + counts + ", resets " + relay.resets() + ", packets lost " + relay.lost()
                + ", usage reports " + platform.reports() + ", latest "
                + load.history().usage.latest() + " ms after its window");
    }

    private void recover() throws IOException, InterruptedException {
        relay.heal();
        final long healed = load.clock();
        for (final Fleet.Unit unit : fleet.units().values()) {
            if (!unit.alive()) {
                unit.start(false);
            }
        }
        final double enough = committed() + profile.perSecond();
        while (load.clock() < healed + RECOVERY_TIMEOUT_MS && committed() < enough) {
            Thread.sleep(POLL_MS);
        }
        System.out.println("healed: a second's worth of messages accepted again after " + (load.clock() - healed)
                + " ms (bound 12000)");
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

    private <T> T any(final List<T> list) {
        return list.get(random.nextInt(list.size()));
    }

    /** Storage machines most of all, and never while another machine is away. */
    private Fleet.Unit target() {
        final List<Fleet.Unit> controllers =
                fleet.units().values().stream().filter(unit -> unit.controller).toList();
        final int kind = random.nextInt(10);
        if (kind < 5) {
            return any(fleet.storages());
        }
        return any(kind < 8 ? controllers : fleet.gateways());
    }

    private void causeFault(final FleetFault kind) throws IOException, InterruptedException {
        final Fleet.Unit target = target();
        count(kind.name());
        switch (kind) {
            case KILL -> kill(target);
            case FREEZE -> freeze(target);
            case RESTART -> restart(target);
            case LOSS -> losePackets();
            case ONE_WAY -> cutOneWay(target);
            case RESETS -> relay.reset(node -> node >= FIRST_GATEWAY, CLIENT_RESETS);
            case PLATFORM -> platform.failFor(PLATFORM_TROUBLE_NANOS);
            case SETTINGS -> breakSettings(target);
        }
    }

    private void kill(final Fleet.Unit target) throws IOException, InterruptedException {
        target.kill();
        Thread.sleep(500 + random.nextInt(3_000));
        target.start(false);
        awaitWhole(target);
    }

    private void freeze(final Fleet.Unit target) throws IOException, InterruptedException {
        target.signal("STOP");
        Thread.sleep(600 + random.nextInt(2_500));
        target.signal("CONT");
    }

    private void restart(final Fleet.Unit target) throws IOException, InterruptedException {
        target.stop();
        target.start(false);
        awaitWhole(target);
    }

    private void losePackets() throws InterruptedException {
        relay.loss(10 + random.nextInt(20));
        Thread.sleep(LOSS_MS);
        relay.heal();
    }

    private void cutOneWay(final Fleet.Unit target) throws InterruptedException {
        for (final Fleet.Unit other : fleet.units().values()) {
            if (other != target && random.nextInt(3) > 0) {
                relay.cut(target.node, other.node);
            }
        }
        Thread.sleep(1_000 + random.nextInt(2_000));
        relay.heal();
    }

    private static void breakSettings(final Fleet.Unit target) throws IOException, InterruptedException {
        final String good = Files.readString(target.settings());
        Files.writeString(target.settings(), good.substring(0, good.length() / 2));
        Thread.sleep(BROKEN_SETTINGS_MS);
        Files.writeString(target.settings(), good);
    }

    /** Until the machine counts again, so that the next failure is not the second at a time. */
    private void awaitWhole(final Fleet.Unit unit) throws InterruptedException {
        final long end = load.clock() + RESTART_TIMEOUT_MS;
        while (load.clock() < end) {
            if (isWhole(unit)) {
                return;
            }
            Thread.sleep(POLL_MS);
        }
        synchronized (load.history()) {
            load.history().violation(load.clock(), "node " + unit.node + " was not whole 15 s after its restart");
        }
    }

    private boolean isWhole(final Fleet.Unit unit) throws InterruptedException {
        final String status = fleet.get(unit, "/v1/status");
        final String ready = fleet.get(unit, "/v1/ready");
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
