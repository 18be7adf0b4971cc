package brookpath.testing.sim;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.group.Member;
import brookpath.coordination.group.Membership;
import brookpath.coordination.message.Response;
import brookpath.coordination.node.ControllerNode;
import brookpath.coordination.node.NodeRequest;
import brookpath.state.record.PackedBuffer;
import java.util.EnumSet;
import java.util.List;
import java.util.TreeSet;
import java.util.function.BooleanSupplier;
import org.testng.annotations.Test;

/** The control group changes its members while machines come, go and are cut off. */
public final class ControlMembershipTest {
    /** A new machine counts as lost for this long after its start, on the users' days. */
    private static final long CATCH_UP_MS = 4_000;

    /** The kind of a group's entry on disk that holds a term and a vote. */
    private static final int WRITTEN_VOTE = 3;

    private static final long SUCCESSOR_AFTER_MS = 1_000;
    private static final long ACKNOWLEDGED_WITHIN_MS = 6_000;

    private SimulatedCluster world;
    private int version;
    private String newestChange;

    private void begin(final long seed) {
        world = SimulatedCluster.serving(seed);
        version = 1;
        newestChange = "first";
    }

    private static GroupMachine group(final SimulatedProcess p) {
        return ((ControllerNode) p.node).group();
    }

    private SimulatedProcess leader() {
        for (final int id : world.controllers) {
            final SimulatedProcess p = world.processes.get(id);
            if (p.alive && !p.frozen() && group(p).mayAct(p.mono())) {
                return p;
            }
        }
        return null;
    }

    private Membership membership() {
        final SimulatedProcess leader = leader();
        return leader == null ? Membership.NONE : group(leader).membership();
    }

    private static TreeSet<Integer> nodes(final List<Member> members) {
        final TreeSet<Integer> nodes = new TreeSet<>();
        members.forEach(m -> nodes.add(m.node()));
        return nodes;
    }

    private TreeSet<Integer> voters() {
        return nodes(membership().voters());
    }

    /** Runs until the condition holds, and tells how long that took. */
    private long until(final String what, final long limit, final BooleanSupplier condition) {
        final long from = world.now();
        while (!condition.getAsBoolean()) {
            assertTrue(world.now() < from + limit, what + " did not come in " + limit + " ms: " + lastNotes());
            world.run(world.now() + 1);
        }
        return world.now() - from;
    }

    private String lastNotes() {
        final List<String> notes = world.notes();
        return String.join("\n", notes.subList(Math.max(0, notes.size() - 40), notes.size()));
    }

    /** Sends a configuration through one controller after the other until it is acknowledged. */
    private void acknowledged(final String changeId) {
        final boolean[] done = new boolean[1];
        send(world.callers.operators.document(version, changeId, true), done, 0);
        until("the acknowledgement of " + changeId, ACKNOWLEDGED_WITHIN_MS, () -> done[0]);
        version++;
        newestChange = changeId;
    }

    private void send(final String document, final boolean[] done, final int turn) {
        final SimulatedProcess asked = world.processes.get(world.controllers.get(turn % world.controllers.size()));
        final byte[] body = document.getBytes(java.nio.charset.StandardCharsets.UTF_8);
        world.callers.asked(asked, id -> new NodeRequest.Operate(id, "change", body), r -> {
            assertFalse(r.status() == 409 || r.status() == 422, r.toString());
            done[0] |= r.status() == 200;
            if (!done[0]) {
                world.at(world.now() + 50, () -> send(document, done, turn + 1));
            }
        });
    }

    private Response read(final SimulatedProcess from) {
        final Response[] got = new Response[1];
        world.callers.asked(from, id -> new NodeRequest.Operate(id, "spec", new byte[0]), r -> got[0] = r);
        until("an answer", 4_000, () -> got[0] != null);
        return got[0];
    }

    private void readBackEverywhere() {
        for (final int id : world.controllers) {
            if (world.processes.get(id).alive) {
                final Response r = read(world.processes.get(id));
                assertTrue(r.status() == 200 && r.json().contains('"' + newestChange + '"'), id + ": " + r);
            }
        }
        assertTrue(
                world.history.violations().isEmpty(), world.history.violations().toString());
    }

    private SimulatedProcess replace(final SimulatedProcess old, final int successor) {
        world.kill(old, true);
        old.goneForGood = true;
        world.run(world.now() + SUCCESSOR_AFTER_MS);
        final int live = world.controllers.stream()
                .filter(id -> world.processes.get(id).alive)
                .findFirst()
                .orElseThrow();
        return world.addController(successor, old.zone, List.of(old.id, live));
    }

    private void everybodyLosesPower() {
        final List<SimulatedProcess> all = List.copyOf(world.processes.values());
        all.forEach(p -> world.kill(p, true));
        world.run(world.now() + 1_000);
        all.stream().filter(p -> !p.goneForGood).forEach(world::restart);
        until("a master", 10_000, () -> leader() != null);
        world.run(world.now() + 3_000);
    }

    @Test
    public void fourControllersReplacedOneAfterAnotherKeepAcknowledging() {
        for (long seed = 1; seed <= 6; seed++) {
            begin(seed);
            world.addController(4, "d", List.of(1, 2, 3));
            until("the fourth as a learner", 3_000, () -> membership().holds(4));
            for (int i = 0; i < 4; i++) {
                final SimulatedProcess successor = replace(world.processes.get(1 + i), 5 + i);
                acknowledged("while-" + i + "-is-replaced");
                world.run(world.now() + CATCH_UP_MS);
                assertTrue(membership().holds(successor.id), lastNotes());
                acknowledged("after-" + i + "-was-replaced");
            }
            assertEquals(voters().size(), 3, "seed " + seed);
            assertTrue(voters().first() > 4, "a machine that is gone still votes: " + voters());
            readBackEverywhere();
            everybodyLosesPower();
            readBackEverywhere();
            acknowledged("after-the-power-loss");
        }
    }

    @Test
    public void aSecondLossJustAfterTheSuccessorCaughtUpLeavesAMajority() {
        for (long seed = 1; seed <= 8; seed++) {
            for (final int controllers : new int[] {3, 4}) {
                begin(seed);
                if (controllers == 4) {
                    world.addController(4, "d", List.of(1));
                    world.run(world.now() + CATCH_UP_MS);
                }
                final SimulatedProcess first = seed % 2 == 0 ? leader() : world.processes.get(voters().last());
                final long startedAt = replace(first, 5).mono();
                acknowledged("between-the-losses");
                final SimulatedProcess fifth = world.processes.get(5);
                world.run(world.now() + CATCH_UP_MS - (fifth.mono() - startedAt));
                assertFalse(voters().contains(first.id), "seed " + seed + ": " + lastNotes());
                world.kill(seed % 3 == 0 ? world.processes.get(voters().first()) : leader(), true);
                acknowledged("after-the-second-loss");
                readBackEverywhere();
            }
        }
    }

    @Test
    public void theWindowBetweenPromotionAndRemovalIsTwoLogRounds() {
        for (long seed = 1; seed <= 20; seed++) {
            begin(seed);
            world.addController(4, "d", List.of(1, 2, 3));
            world.run(world.now() + CATCH_UP_MS);
            final SimulatedProcess dead = world.processes.get(voters().stream()
                    .filter(id -> id != leader().id)
                    .findFirst()
                    .orElseThrow());
            world.kill(dead, true);
            final long noticed = until("the promotion", 3_000, () -> voters().contains(4));
            final long window = until("the removal", 1_000, () -> !voters().contains(dead.id));
            assertTrue(noticed <= 3_000 && window <= 50, "noticed in " + noticed + " ms, window " + window + " ms");
            until("its acceptance", 50, () -> group(leader()).membershipSettled());
        }
    }

    @Test
    public void anAnnouncedReplacementBringsTheNewOneFirst() {
        begin(31);
        for (int i = 0; i < 3; i++) {
            final SimulatedProcess leaving = world.processes.get(1 + i);
            world.addController(4 + i, leaving.zone, List.of(1, 2, 3));
            world.run(world.now() + CATCH_UP_MS);
            world.callers.asked(leaving, NodeRequest.GracefulShutdown::new, r -> assertEquals(r.status(), 200));
            world.run(world.now() + 1_000);
            world.kill(leaving, false);
            leaving.goneForGood = true;
            acknowledged("as-" + leaving.id + "-leaves");
            until("its replacement", CATCH_UP_MS, () -> !voters().contains(leaving.id) && voters().size() == 3);
        }
        assertEquals(voters(), new TreeSet<>(List.of(4, 5, 6)));
        readBackEverywhere();
        everybodyLosesPower();
        readBackEverywhere();
    }

    /** As if it had stood in this term, heard by nobody who counts. */
    private static void stoodInVain(final SimulatedProcess p, final long term) {
        group(p).replay(
                        PackedBuffer.reader(PackedBuffer.writer()
                                .num(WRITTEN_VOTE)
                                .num(term)
                                .num(p.id)
                                .done()),
                        p.mono());
    }

    private void cut(final SimulatedProcess p) {
        world.processes.keySet().forEach(other -> {
            world.net.cut(p.id, other);
            world.net.cut(other, p.id);
        });
    }

    @Test
    public void aVoterThatWasCutOffNeitherDeposesNorServesOldState() {
        for (long seed = 41; seed < 45; seed++) {
            begin(seed);
            world.addController(4, "d", List.of(1, 2, 3));
            world.run(world.now() + CATCH_UP_MS);
            final SimulatedProcess away = seed % 2 == 0 ? leader() : world.processes.get(voters().last());
            cut(away);
            until("another master", 5_000, () -> leader() != null && leader() != away);
            until("its replacement", CATCH_UP_MS, () -> voters().contains(4) && !voters().contains(away.id));
            acknowledged("while-one-is-cut-off");
            for (int i = 0; i < 20; i++) {
                assertFalse(read(away).status() == 200, "a controller that is cut off serves");
                world.run(world.now() + 1_000);
            }
            final SimulatedProcess before = leader();
            final long term = group(before).term();
            if (seed % 4 > 1) {
                stoodInVain(away, term + 5);
            }
            world.net.heal();
            until(
                    "its return as a learner",
                    8_000,
                    () -> membership().learners().stream().anyMatch(m -> m.node() == away.id));
            acknowledged("after-its-return");
            world.run(world.now() + 3_000);
            assertEquals(leader(), before, lastNotes());
            assertEquals(group(before).term(), term, lastNotes());
            assertEquals(group(away).committed(), group(before).committed());
            readBackEverywhere();
        }
    }

    @Test
    public void aFormerVoterFindsTheLeaderThoughAllItsPeersAreGone() {
        begin(51);
        world.addController(4, "d", List.of(1, 2, 3));
        world.run(world.now() + CATCH_UP_MS);
        final SimulatedProcess former = world.processes.get(voters().first());
        world.kill(former, true);
        world.run(world.now() + CATCH_UP_MS);
        int successor = 5;
        for (final int id : List.of(1, 2, 3)) {
            if (id != former.id) {
                replace(world.processes.get(id), successor++);
                world.run(world.now() + CATCH_UP_MS);
            }
        }
        acknowledged("without-founders");
        world.restart(former);
        until(
                "its return",
                8_000,
                () -> membership().holds(former.id)
                        && group(former).committed() == group(leader()).committed());
        assertEquals(former.node.heartbeatPeers().size(), membership().voters().size(), "it still beats the dead");
        readBackEverywhere();
    }

    @Test
    public void aSecondFailureBetweenTheTwoStepsLosesNothing() {
        for (long seed = 61; seed < 69; seed++) {
            begin(seed);
            world.addController(4, "d", List.of(1, 2, 3));
            // why: the founders' zones are unknown, so the newcomer's is a further one, and it joins once all are
            // steady
            until("the promotion", 60_000, () -> voters().size() == 4);
            final SimulatedProcess leader = leader();
            acknowledged("in-between");
            final boolean diskLost = seed % 2 == 0;
            final SimulatedProcess victim =
                    world.processes.get(nodes(membership().voters()).stream()
                            .filter(id -> id != leader.id && (diskLost ? id != 4 : id < 4))
                            .reduce((a, b) -> b)
                            .orElseThrow());
            world.kill(victim, true);
            if (diskLost) {
                victim.disk.wipe();
            }
            world.run(world.now() + 1_500);
            acknowledged("after-it");
            world.restart(victim);
            world.run(world.now() + 3_000);
            until(
                    "an odd number of voters",
                    6_000,
                    () -> voters().size() == 3 && group(leader()).membershipSettled());
            readBackEverywhere();
            everybodyLosesPower();
            readBackEverywhere();
        }
    }

    @Test
    public void withTwoToleratedLossesTheGroupGrowsToFive() {
        world = new SimulatedCluster(71, FleetSize.SMALL, EnumSet.noneOf(Mutation.class));
        world.toleratedLosses = 2;
        world.run(4_000);
        version = 0;
        acknowledged("first");
        world.addController(4, "d", List.of(1));
        world.addController(5, "e", List.of(2));
        until("five voters", 5_000, () -> voters().size() == 5);
        until("their acceptance", 1_000, () -> group(leader()).membershipSettled());
        acknowledged("with-five");
        world.kill(leader(), true);
        acknowledged("with-four");
        world.kill(leader(), true);
        acknowledged("with-three");
        readBackEverywhere();
    }

    @Test
    public void aCalmGroupChangesNothing() {
        begin(81);
        world.addController(4, "d", List.of(1, 2, 3));
        world.run(world.now() + 60_000);
        final SimulatedProcess leader = leader();
        assertNotNull(leader);
        final int groupVersion = group(leader).groupVersion();
        final long end = group(leader).endIndex();
        world.run(world.now() + 60_000);
        assertEquals(leader(), leader);
        assertEquals(group(leader).groupVersion(), groupVersion, lastNotes());
        assertTrue(
                group(leader).endIndex() - end <= 20,
                "the log grew by " + (group(leader).endIndex() - end));
        assertNull(Membership.find(membership().voters(), 99));
    }
}
