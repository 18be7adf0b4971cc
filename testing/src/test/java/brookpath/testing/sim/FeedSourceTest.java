package brookpath.testing.sim;

import static org.testng.Assert.assertTrue;

import brookpath.coordination.action.Action;
import brookpath.coordination.group.Member;
import brookpath.coordination.message.PeerMessage.Fetch;
import java.util.List;
import org.testng.annotations.Test;

/**
 * Which member a gateway reads a group from after one of them is lost. Guards against messages that reach the clients
 * up to 2.3 s late: two members refuse reads during a leadership transfer and are avoided for 3 s, and the third is
 * killed half a second later. A gateway that chooses among recently failed members by zone and node number alone then
 * keeps fetching from the dead one (60 fetches in a row) until the 3 s are over, although the two others are in sync
 * again.
 */
public final class FeedSourceTest extends ClusterScenario {
    private static final int SEEDS = 6;
    private static final int MEMBERS = 3;
    /** The most fetches that one gateway may send to the dead member: for its groups, and for topics being joined. */
    private static final long MAX_FETCHES = 12;

    private static final long BETWEEN_RESETS_AND_LOSS_MS = 400;

    @Test
    public void deadMemberIsNotRetriedBeforeMembersThatFailedEarlier() {
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
