package brookpath.testing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import brookpath.coordination.group.Member;
import brookpath.coordination.group.Membership;
import brookpath.coordination.group.MembershipPlan;
import brookpath.coordination.group.MembershipPlan.Candidate;
import brookpath.coordination.group.MembershipPlan.Limits;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.testng.annotations.Test;

/** The membership plan: which step it proposes for the nodes as the leader sees them. */
public final class MembershipPlanTest {
    private static final long SILENT_MS = 2_001;
    private static final Limits THREE = new Limits(3, 2_000, 10_000);
    private static final Limits FIVE = new Limits(5, 2_000, 10_000);

    private static List<Member> members(final int... nodes) {
        return Arrays.stream(nodes)
                .mapToObj(node -> new Member(node, 50, "z" + node))
                .toList();
    }

    private static Membership group(final List<Member> voters, final List<Member> learners) {
        return new Membership(7, voters, learners);
    }

    private static Candidate healthy(final int node, final String zone) {
        return new Candidate(node, zone, 0, true, true);
    }

    private static Candidate healthy(final int node) {
        return healthy(node, "z" + node);
    }

    private static Candidate silent(final int node) {
        return new Candidate(node, "z" + node, SILENT_MS, false, false);
    }

    private static Membership next(final Membership group, final Limits limits, final Candidate... seen) {
        return MembershipPlan.next(group, 1, limits, List.of(seen));
    }

    private static List<Integer> nodes(final List<Member> members) {
        return members.stream().map(Member::node).toList();
    }

    @Test
    public void noStepWhereAllNodesAreHealthy() {
        final Membership group = group(members(1, 2, 3), members(4));
        assertNull(next(group, THREE, healthy(1), healthy(2), healthy(3), healthy(4)));
        final Candidate silentUpToTheLimit = new Candidate(2, "z2", 2_000, false, false);
        assertNull(next(group, THREE, healthy(1), silentUpToTheLimit, healthy(3), healthy(4)));
    }

    @Test
    public void aDeadVoterIsReplacedInTwoSteps() {
        final Membership group = group(members(1, 2, 3), members(4));
        final Membership first = next(group, THREE, healthy(1), silent(2), healthy(3), healthy(4));
        assertEquals(nodes(first.voters()), List.of(1, 2, 3, 4));
        assertTrue(first.learners().isEmpty() && first.version() == 8);
        final Membership second = next(first, THREE, healthy(1), silent(2), healthy(3), healthy(4));
        assertEquals(nodes(second.voters()), List.of(1, 3, 4));
        assertEquals(second.version(), 9);
    }

    @Test
    public void aDeadVoterStaysWhileNoLearnerIsSynced() {
        final Membership group = group(members(1, 2, 3), members(4));
        final Candidate behind = new Candidate(4, "z4", 0, false, false);
        assertNull(next(group, THREE, healthy(1), silent(2), healthy(3), behind));
        assertNull(next(group(members(1, 2, 3), List.of()), THREE, healthy(1), silent(2), healthy(3)));
    }

    @Test
    public void aNewNodeBecomesALearnerAndAGoneLearnerIsRemoved() {
        final Membership group = group(members(1, 2, 3), members(4));
        final Candidate gone = new Candidate(4, "z4", 10_001, false, false);
        final Candidate heard = new Candidate(5, "z5", 0, false, false);
        final Membership then = next(group, THREE, healthy(1), healthy(2), healthy(3), gone, heard);
        assertEquals(nodes(then.learners()), List.of(5));
        assertEquals(then.voters(), group.voters());
    }

    @Test
    public void theReplacementComesFromAZoneWithoutALiveVoter() {
        final Membership group = group(members(1, 2, 3), members(4, 5));
        final Membership then =
                next(group, THREE, healthy(1), silent(2), healthy(3), healthy(4, "z1"), healthy(5, "z2"));
        assertEquals(nodes(then.voters()), List.of(1, 2, 3, 5));
    }

    @Test
    public void theGroupGrowsToItsTarget() {
        assertEquals(Limits.votersFor(0), 3);
        assertEquals(Limits.votersFor(1), 3);
        assertEquals(Limits.votersFor(2), 5);
        Membership group = group(members(1, 2, 3), members(4, 5));
        for (int i = 0; i < 2; i++) {
            group = next(group, FIVE, healthy(1), healthy(2), healthy(3), healthy(4), healthy(5));
            assertNotNull(group);
        }
        assertEquals(nodes(group.voters()), List.of(1, 2, 3, 4, 5));
        assertNull(next(group, FIVE, healthy(1), healthy(2), healthy(3), healthy(4), healthy(5)));
    }

    @Test
    public void aDeadVoterThatOnlyRaisesTheMajorityIsRemoved() {
        final Membership group = group(members(1, 2, 3, 4), List.of());
        final Membership then = next(group, FIVE, healthy(1), healthy(2), silent(3), healthy(4));
        assertEquals(nodes(then.voters()), List.of(1, 2, 4));
    }

    @Test
    public void votersAreSpreadOverZonesOnceAllAreSteady() {
        final Membership group = group(members(1, 2, 3), members(4));
        final Candidate sharing = healthy(3, "z1");
        final Candidate fresh = new Candidate(4, "z4", 0, true, false);
        assertNull(next(group, THREE, healthy(1), healthy(2), sharing, fresh));
        final Membership first = next(group, THREE, healthy(1), healthy(2), sharing, healthy(4));
        assertEquals(nodes(first.voters()), List.of(1, 2, 3, 4));
        final Membership second = next(first, THREE, healthy(1), healthy(2), sharing, healthy(4));
        assertEquals(nodes(second.voters()), List.of(1, 2, 4), "removed the leader, or the only voter of a zone");
        assertNull(next(second, THREE, healthy(1), healthy(2), sharing, healthy(4)).learners().stream()
                .filter(m -> m.node() != 3)
                .findFirst()
                .orElse(null));
    }

    @Test
    public void eachStepChangesOneVoterAndTheStepsEnd() {
        final SplittableRandom random = new SplittableRandom(1);
        for (int run = 0; run < 2_000; run++) {
            final Limits limits = random.nextBoolean() ? THREE : FIVE;
            final List<Candidate> seen = new ArrayList<>(List.of(healthy(1)));
            for (int node = 2; node <= 8; node++) {
                final boolean up = random.nextInt(4) > 0;
                seen.add(new Candidate(
                        node,
                        "z" + random.nextInt(4),
                        up ? 0 : SILENT_MS + random.nextInt(20_000),
                        up && random.nextInt(4) > 0,
                        up && random.nextBoolean()));
            }
            Membership group = group(members(1, 2, 3), members(4, 5));
            for (int step = 0; group != null; step++) {
                assertTrue(step < 40, "the steps do not end: " + group + " for " + seen);
                final Membership next = MembershipPlan.next(group, 1, limits, seen);
                if (next != null) {
                    final int joining =
                            Membership.missing(next.voters(), group.voters()).size();
                    final int leaving =
                            Membership.missing(group.voters(), next.voters()).size();
                    assertTrue(joining + leaving <= 1, group + " to " + next);
                    assertTrue(next.version() == group.version() + 1 && Membership.find(next.voters(), 1) != null);
                    assertTrue(next.voters().size() >= 3 && next.voters().size() <= limits.voters() + 1);
                }
                group = next;
            }
        }
    }
}
