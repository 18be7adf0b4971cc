package brookpath.testing;

import static org.testng.Assert.assertTrue;

import brookpath.testing.sim.GroupFuzz;
import org.testng.annotations.Test;

/** One group on a network worse than any: election and replication against an oracle that sees the inside. */
public final class GroupFuzzTest {
    @Test
    public void electionAndReplicationHoldOnABadNetwork() throws InterruptedException {
        long committed = 0;
        int leaders = 0;
        int changes = 0;
        for (final GroupFuzz.Style style : GroupFuzz.STYLES) {
            for (final GroupFuzz.Outcome o : SeedsInParallel.play(1, 12, seed -> GroupFuzz.live(seed, style))) {
                assertTrue(o.violations().isEmpty(), o + " " + style);
                committed += o.committed();
                leaders += o.leaders();
                changes += o.changes();
            }
        }
        assertTrue(committed > 10_000 && leaders > 300, committed + " records, " + leaders + " masters");
        assertTrue(changes > 500, changes + " membership changes");
    }
}
