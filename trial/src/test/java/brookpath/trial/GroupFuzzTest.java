package brookpath.trial;

import static org.testng.Assert.assertTrue;

import brookpath.trial.sim.GroupFuzz;
import org.testng.annotations.Test;

/** One group on a network worse than any: election and replication against an oracle that sees the inside. */
public final class GroupFuzzTest {
    @Test
    public void electionAndReplicationHoldOnABadNetwork() {
        long accepted = 0;
        int masters = 0;
        int changes = 0;
        for (final GroupFuzz.Style style : GroupFuzz.STYLES) {
            for (long seed = 1; seed <= 12; seed++) {
                final GroupFuzz.Outcome o = GroupFuzz.live(seed, style);
                assertTrue(o.violations().isEmpty(), o + " " + style);
                accepted += o.accepted();
                masters += o.masters();
                changes += o.changes();
            }
        }
        assertTrue(accepted > 10_000 && masters > 300, accepted + " records, " + masters + " masters");
        assertTrue(changes > 500, changes + " membership changes");
    }
}
