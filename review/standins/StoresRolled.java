import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * Two storage machines are stopped and started in turn, while clients publish at the site's usual rate with bodies of
 * 13 KiB. Counts how often processes of the storage machines end by themselves afterwards.
 */
public final class StoresRolled {
    private static final String SPACE = "kafi810";
    private static final String KEY = "wrr6x73d3zji9n73hh2b";
    private static final int TOPICS = 420;
    private static final double PER_SECOND = 69.2;
    private static final int BODY_BYTES = 13 << 10;
    private static final int PUBLISHERS = 60;
    private static final int TIMEOUT_MS = 1_500;

    private static final long LOAD_BEFORE_ROLL_MS = 38_000;
    private static final int ROLLED = 2;
    private static final long GAP_MS = 1_000;
    private static final long GRACE_PERIOD_MS = 6_000;
    private static final long RESTART_DELAY_MS = 500;
    private static final long END_AT_MS = 114_000;
    /** The rule: ends on a tenth of the machines in use, two at least, three times each. */
    private static final int MACHINES = 2;

    private static final int ENDS_EACH = 3;

    private StoresRolled() {}

    /** @param args the record file, and 0 to leave out the disruption */
    public static void main(final String[] args) {
        final boolean trouble = !args[1].equals("0");
        int exit = 2;
        try (Rig rig = new Rig(Path.of(args[0]))) {
            exit = run(rig, trouble);
        } catch (final Exception ex) {
            // Every exit code but 1 and 0 says that the case could not run.
            System.err.println("the case could not run: " + ex);
            exit = 2;
        }
        System.exit(exit);
    }

    private static int run(final Rig rig, final boolean trouble) throws IOException, InterruptedException {
        rig.layOut(3, 0, 4);
        rig.startAll();
        rig.configure(0, Rig.configuration(1, SPACE, KEY, TIMEOUT_MS));
        if (!Rig.await(15_000, () -> rig.gateways.stream().allMatch(rig::isReady))) {
            throw new IllegalStateException("the gateways are not ready");
        }
        final Map<String, List<Long>> ends = new TreeMap<>();
        try (Load load = new Load(rig, SPACE, KEY, TOPICS, BODY_BYTES, PER_SECOND)) {
            load.start(PUBLISHERS);
            rig.record("clients publish " + PER_SECOND + " messages of " + BODY_BYTES + " bytes a second");
            final Map<Rig.Node, Long> restartAt = new HashMap<>();
            final long rollAt = rig.nowMs() + LOAD_BEFORE_ROLL_MS;
            long nextReport = 0;
            boolean rolled = !trouble;
            while (rig.nowMs() < END_AT_MS && !isBroken(ends)) {
                if (!rolled && rig.nowMs() >= rollAt) {
                    rolled = true;
                    roll(rig);
                }
                supervise(rig, ends, restartAt);
                if (rig.nowMs() >= nextReport) {
                    nextReport = rig.nowMs() + 5_000;
                    rig.record(load.counts());
                }
                TimeUnit.MILLISECONDS.sleep(20);
            }
            rig.record(load.counts());
        }
        rig.record("ends by themselves, by storage machine, in ms: " + ends);
        rig.record(isBroken(ends) ? "BROKEN: Fault" : "held");
        return isBroken(ends) ? 1 : 0;
    }

    /** Stops and starts two machines in turn, with SIGTERM and the grace period. */
    private static void roll(final Rig rig) throws IOException, InterruptedException {
        for (int i = 0; i < ROLLED; i++) {
            final Rig.Node store = rig.stores.get(i);
            rig.record("SIGTERM to " + store);
            store.terminate();
            if (!store.process.waitFor(GRACE_PERIOD_MS, TimeUnit.MILLISECONDS)) {
                store.kill();
            }
            TimeUnit.MILLISECONDS.sleep(RESTART_DELAY_MS);
            store.start();
            rig.record("start of " + store);
            TimeUnit.MILLISECONDS.sleep(GAP_MS);
        }
    }

    /** Starts processes that have ended again after a short delay, as the platform does, and notes their ends. */
    private static void supervise(
            final Rig rig, final Map<String, List<Long>> ends, final Map<Rig.Node, Long> restartAt) throws IOException {
        for (final Rig.Node store : rig.stores) {
            if (store.isAlive()) {
                continue;
            }
            if (!restartAt.containsKey(store)) {
                ends.computeIfAbsent(store.name, name -> new ArrayList<>()).add(rig.nowMs());
                restartAt.put(store, rig.nowMs() + RESTART_DELAY_MS);
            } else if (rig.nowMs() >= restartAt.get(store)) {
                restartAt.remove(store);
                store.start();
                rig.record("start of " + store);
            }
        }
    }

    private static boolean isBroken(final Map<String, List<Long>> ends) {
        return ends.values().stream().filter(times -> times.size() >= ENDS_EACH).count() >= MACHINES;
    }
}
