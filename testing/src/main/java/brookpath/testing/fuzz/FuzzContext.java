package brookpath.testing.fuzz;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.group.Member;
import brookpath.testing.sim.EventQueue;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeMap;

/** The shared state of one run: its style, virtual time, random numbers, members, network and oracle. */
final class FuzzContext {
    static final int GROUP = 0;

    private static final long START_MS = 1_000;

    final long seed;
    final FuzzStyle style;
    final SplittableRandom random;
    final TimingBounds timing = TimingBounds.DEFAULT;
    final EventQueue events = new EventQueue(START_MS);
    final List<Member> founders = new ArrayList<>();
    final TreeMap<Integer, FuzzMember> members = new TreeMap<>();
    final FuzzNetwork network = new FuzzNetwork(this);
    final FuzzOracle oracle = new FuzzOracle(this);

    FuzzContext(final long seed, final FuzzStyle style) {
        this.seed = seed;
        this.style = style;
        random = new SplittableRandom(seed);
        for (int node = 1; node <= style.members(); node++) {
            founders.add(new Member(node, 50 + 10 * random.nextInt(3), ""));
        }
    }

    long now() {
        return events.now();
    }

    void after(final long delayMs, final Runnable task) {
        events.schedule(now() + Math.max(0, delayMs), task);
    }

    FuzzMember anyMember() {
        return members.get(1 + random.nextInt(members.size()));
    }
}
