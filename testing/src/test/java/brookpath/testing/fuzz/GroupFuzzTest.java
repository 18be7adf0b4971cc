package brookpath.testing.fuzz;

import static org.testng.Assert.assertTrue;

import brookpath.testing.SeedsInParallel;
import org.testng.annotations.Test;

/** Election and replication of one group on a very unreliable network, checked by an oracle of the internal state. */
public final class GroupFuzzTest {
    @Test
    public void electionAndReplicationAreSafeOnAnUnreliableNetwork() throws InterruptedException {
        long committed = 0;
        int leaders = 0;
        int changes = 0;
        for (final FuzzStyle style : FuzzStyle.ALL) {
            for (final FuzzOutcome o : SeedsInParallel.play(1, 12, seed -> GroupFuzz.run(seed, style))) {
                assertTrue(o.violations().isEmpty(), o + " " + style);
                committed += o.committed();
                leaders += o.leaders();
                changes += o.changes();
            }
        }
        assertTrue(committed > 10_000 && leaders > 300, committed + " records, " + leaders + " leaders");
        assertTrue(changes > 500, changes + " membership changes");
    }
}
