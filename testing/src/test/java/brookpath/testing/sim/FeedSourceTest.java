package brookpath.testing.sim;

import static org.testng.Assert.assertTrue;

import brookpath.coordination.action.Action;
import brookpath.coordination.group.Member;
import brookpath.coordination.message.PeerMessage.Fetch;
import java.util.List;
import org.testng.annotations.Test;

/**
 * Which member a gateway reads a group from after one of them is gone.
 *
 * <p>The failure: messages reached the clients of one gateway up to 2.3 s late, all of one group. The order of events:
 * the group's leadership was handed over, and in that moment two members refused the gateway's reads and were avoided
 * for three seconds; the third answered. Half a second later it was killed. The cause: among members that had all
 * failed lately the gateway chose by zone and number alone, so it tried the dead one again and again until the three
 * seconds were over, although the two others had long been in sync.
 *
 * <p>The evidence: in the history of that day the gateway sent 60 fetches to the dead member in a row, while the
 * heartbeats of both others told it that they were in sync.
 */
public final class FeedSourceTest extends ClusterScenario {
    private static final int SEEDS = 6;
    private static final int MEMBERS = 3;
    /** By one gateway after the member's end: its groups, and the topics that are just joined. */
    private static final long MAX_FETCHES = 12;

    private static final long BETWEEN_RESETS_AND_LOSS_MS = 400;

    @Test
    public void aDeadMemberIsNotTriedAgainBeforeThoseThatFailedEarlier() {
        for (int seed = 200; seed < 200 + SEEDS; seed++) {
            for (int lost = 0; lost < MEMBERS; lost++) {
                begin(seed);
                startCallers();
                final int group = groupOf("permits/t0");
                final List<Integer> members = group(actingLeader(group), group).members().stream()
                        .map(Member::node)
                        .toList();
                final SimulatedProcess dead = cluster.processes.get(members.get(lost));
                members.stream().filter(node -> node != dead.id).forEach(this::resetSessionsWithGateways);
                cluster.run(cluster.now() + BETWEEN_RESETS_AND_LOSS_MS);
                cluster.kill(dead, false);
                final long killedAt = cluster.now();
                final long[] fetches = new long[1];
                cluster.observer = (at, node, action) -> fetches[0] += isFetchFrom(dead.id, action) ? 1 : 0;
                cluster.run(killedAt + cluster.timing.deliverMs());
                assertTrue(
                        fetches[0] <= MAX_FETCHES * cluster.gateways.size(),
                        "seed " + seed + ": " + fetches[0] + " fetches sent to the dead member " + dead.id);
                cluster.restart(dead);
                assertNoViolationsAfterQuiescence();
            }
        }
    }

    private static boolean isFetchFrom(final int member, final Action action) {
        return action instanceof Action.Send send && send.node() == member && send.message() instanceof Fetch;
    }

    private void resetSessionsWithGateways(final int member) {
        cluster.gateways.forEach(
                gateway -> cluster.net.reset(cluster.processes.get(member), cluster.processes.get(gateway)));
    }
}
