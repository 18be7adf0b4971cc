package brookpath.testing.sim;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.group.Member;
import brookpath.coordination.group.Membership;
import brookpath.coordination.message.ControlRequestKind;
import brookpath.coordination.message.Response;
import brookpath.coordination.node.ControllerNode;
import brookpath.coordination.node.NodeRequest;
import brookpath.state.record.PackedBuffer;
import java.util.EnumSet;
import java.util.List;
import java.util.TreeSet;
import java.util.function.BooleanSupplier;
import org.testng.annotations.Test;

/** The control group changes its members while controllers join, fail and are cut off. */
public final class ControlMembershipTest {
    /** The users' simulated days count a new machine as lost for this long after its start. */
    private static final long CATCH_UP_MS = 4_000;

    /** The kind of a group's entry on disk that holds a term and a vote. */
    private static final int WRITTEN_VOTE = 3;

    private static final long SUCCESSOR_AFTER_MS = 1_000;
    private static final long ACKNOWLEDGED_WITHIN_MS = 6_000;

    private SimulatedCluster cluster;
    private int version;
    private String newestChange;

    private void begin(final long seed) {
        cluster = ServingCluster.start(seed);
        version = 1;
        newestChange = "first";
    }

    private static GroupMachine group(final SimulatedProcess p) {
        return ((ControllerNode) p.node).group();
    }

    private SimulatedProcess leader() {
        for (final int id : cluster.controllers) {
            final SimulatedProcess p = cluster.processes.get(id);
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

    /** Runs until the condition holds, and returns how long that took. */
    private long until(final String what, final long limit, final BooleanSupplier condition) {
        final long from = cluster.now();
        while (!condition.getAsBoolean()) {
            assertTrue(cluster.now() < from + limit, what + " did not happen within " + limit + " ms: " + lastNotes());
            cluster.run(cluster.now() + 1);
        }
        return cluster.now() - from;
    }

    private String lastNotes() {
        final List<String> notes = cluster.notes();
        return String.join("\n", notes.subList(Math.max(0, notes.size() - 40), notes.size()));
    }

    /** Sends a configuration to one controller after the other until it is acknowledged. */
    private void changeUntilAcknowledged(final String changeId) {
        final boolean[] done = new boolean[1];
        send(cluster.callers.operators.document(version, changeId, true), done, 0);
        until("the acknowledgement of " + changeId, ACKNOWLEDGED_WITHIN_MS, () -> done[0]);
        version++;
        newestChange = changeId;
    }

    private void send(final String document, final boolean[] done, final int turn) {
        final SimulatedProcess asked =
                cluster.processes.get(cluster.controllers.get(turn % cluster.controllers.size()));
        final byte[] body = document.getBytes(java.nio.charset.StandardCharsets.UTF_8);
        cluster.callers.ask(asked, id -> new NodeRequest.Operate(id, ControlRequestKind.CHANGE, body), r -> {
            assertFalse(r.status() == 409 || r.status() == 422, r.toString());
            done[0] |= r.status() == 200;
            if (!done[0]) {
                cluster.at(cluster.now() + 50, () -> send(document, done, turn + 1));
            }
        });
    }

    private Response read(final SimulatedProcess from) {
        final Response[] got = new Response[1];
        cluster.callers.ask(
                from,
                id -> new NodeRequest.Operate(id, ControlRequestKind.CONFIGURATION, new byte[0]),
                r -> got[0] = r);
        until("a response", 4_000, () -> got[0] != null);
        return got[0];
    }

    private void assertReadBackEverywhere() {
        for (final int id : cluster.controllers) {
            if (cluster.processes.get(id).alive) {
                final Response r = read(cluster.processes.get(id));
                assertTrue(r.status() == 200 && r.json().contains('"' + newestChange + '"'), id + ": " + r);
            }
        }
        assertTrue(
                cluster.history.violations().isEmpty(),
                cluster.history.violations().toString());
    }

    private SimulatedProcess replace(final SimulatedProcess old, final int successor) {
        cluster.kill(old, true);
        old.goneForGood = true;
        cluster.run(cluster.now() + SUCCESSOR_AFTER_MS);
        final int live = cluster.controllers.stream()
                .filter(id -> cluster.processes.get(id).alive)
                .findFirst()
                .orElseThrow();
        return cluster.addController(successor, old.zone, List.of(old.id, live));
    }

    private void restartAllAfterPowerLoss() {
        final List<SimulatedProcess> all = List.copyOf(cluster.processes.values());
        all.forEach(p -> cluster.kill(p, true));
        cluster.run(cluster.now() + 1_000);
        all.stream().filter(p -> !p.goneForGood).forEach(cluster::restart);
        until("a leader", 10_000, () -> leader() != null);
        cluster.run(cluster.now() + 3_000);
    }

    @Test
    public void changesAreAcknowledgedWhileControllersAreReplaced() {
        for (long seed = 1; seed <= 6; seed++) {
            begin(seed);
            cluster.addController(4, "d", List.of(1, 2, 3));
            until("the fourth as a learner", 3_000, () -> membership().holds(4));
            for (int i = 0; i < 4; i++) {
                final SimulatedProcess successor = replace(cluster.processes.get(1 + i), 5 + i);
                changeUntilAcknowledged("while-" + i + "-is-replaced");
                cluster.run(cluster.now() + CATCH_UP_MS);
                assertTrue(membership().holds(successor.id), lastNotes());
                changeUntilAcknowledged("after-" + i + "-was-replaced");
            }
            assertEquals(voters().size(), 3, "seed " + seed);
            assertTrue(voters().first() > 4, "a replaced controller is still a voter: " + voters());
            assertReadBackEverywhere();
            restartAllAfterPowerLoss();
            assertReadBackEverywhere();
            changeUntilAcknowledged("after-the-power-loss");
        }
    }

    @Test
    public void secondLossAfterTheReplacementCaughtUpLeavesAMajority() {
        for (long seed = 1; seed <= 8; seed++) {
            for (final int controllers : new int[] {3, 4}) {
                begin(seed);
                if (controllers == 4) {
                    cluster.addController(4, "d", List.of(1));
                    cluster.run(cluster.now() + CATCH_UP_MS);
                }
                final SimulatedProcess first = seed % 2 == 0 ? leader() : cluster.processes.get(voters().last());
                final long startedAt = replace(first, 5).mono();
                changeUntilAcknowledged("between-the-losses");
                final SimulatedProcess fifth = cluster.processes.get(5);
                cluster.run(cluster.now() + CATCH_UP_MS - (fifth.mono() - startedAt));
                assertFalse(voters().contains(first.id), "seed " + seed + ": " + lastNotes());
                cluster.kill(seed % 3 == 0 ? cluster.processes.get(voters().first()) : leader(), true);
                changeUntilAcknowledged("after-the-second-loss");
                assertReadBackEverywhere();
            }
        }
    }

    @Test
    public void removalFollowsThePromotionWithinTwoLogRounds() {
        for (long seed = 1; seed <= 20; seed++) {
            begin(seed);
            cluster.addController(4, "d", List.of(1, 2, 3));
            cluster.run(cluster.now() + CATCH_UP_MS);
            final SimulatedProcess dead = cluster.processes.get(voters().stream()
                    .filter(id -> id != leader().id)
                    .findFirst()
                    .orElseThrow());
            cluster.kill(dead, true);
            final long noticed = until("the promotion", 3_000, () -> voters().contains(4));
            final long window = until("the removal", 1_000, () -> !voters().contains(dead.id));
            assertTrue(noticed <= 3_000 && window <= 50, "noticed in " + noticed + " ms, window " + window + " ms");
            until("its acceptance", 50, () -> group(leader()).membershipSettled());
        }
    }

    @Test
    public void gracefulReplacementAddsTheNewControllerFirst() {
        begin(31);
        for (int i = 0; i < 3; i++) {
            final SimulatedProcess leaving = cluster.processes.get(1 + i);
            cluster.addController(4 + i, leaving.zone, List.of(1, 2, 3));
            cluster.run(cluster.now() + CATCH_UP_MS);
            cluster.callers.ask(leaving, NodeRequest.GracefulShutdown::new, r -> assertEquals(r.status(), 200));
            cluster.run(cluster.now() + 1_000);
            cluster.kill(leaving, false);
            leaving.goneForGood = true;
            changeUntilAcknowledged("as-" + leaving.id + "-leaves");
            until("its replacement", CATCH_UP_MS, () -> !voters().contains(leaving.id) && voters().size() == 3);
        }
        assertEquals(voters(), new TreeSet<>(List.of(4, 5, 6)));
        assertReadBackEverywhere();
        restartAllAfterPowerLoss();
        assertReadBackEverywhere();
    }

    /** Stores a vote for itself in this term, as after an election in which no voter heard it. */
    private static void storeLostCandidacy(final SimulatedProcess p, final long term) {
        group(p).replay(
                        PackedBuffer.reader(PackedBuffer.writer()
                                .putLong(WRITTEN_VOTE)
                                .putLong(term)
                                .putLong(p.id)
                                .toByteArray()),
                        p.mono());
    }

    private void cut(final SimulatedProcess p) {
        cluster.processes.keySet().forEach(other -> {
            cluster.net.cut(p.id, other);
            cluster.net.cut(other, p.id);
        });
    }

    @Test
    public void voterThatWasCutOffNeitherDeposesTheLeaderNorServesStaleState() {
        for (long seed = 41; seed < 45; seed++) {
            begin(seed);
            cluster.addController(4, "d", List.of(1, 2, 3));
            cluster.run(cluster.now() + CATCH_UP_MS);
            final SimulatedProcess away = seed % 2 == 0 ? leader() : cluster.processes.get(voters().last());
            cut(away);
            until("another leader", 5_000, () -> leader() != null && leader() != away);
            until("its replacement", CATCH_UP_MS, () -> voters().contains(4) && !voters().contains(away.id));
            changeUntilAcknowledged("while-one-is-cut-off");
            for (int i = 0; i < 20; i++) {
                assertFalse(read(away).status() == 200, "a controller that is cut off serves");
                cluster.run(cluster.now() + 1_000);
            }
            final SimulatedProcess before = leader();
            final long term = group(before).term();
            if (seed % 4 > 1) {
                storeLostCandidacy(away, term + 5);
            }
            cluster.net.heal();
            until(
                    "its return as a learner",
                    8_000,
                    () -> membership().learners().stream().anyMatch(m -> m.node() == away.id));
            changeUntilAcknowledged("after-its-return");
            cluster.run(cluster.now() + 3_000);
            assertEquals(leader(), before, lastNotes());
            assertEquals(group(before).term(), term, lastNotes());
            assertEquals(group(away).committed(), group(before).committed());
            assertReadBackEverywhere();
        }
    }

    @Test
    public void formerVoterFindsTheLeaderAfterAllItsPeersWereReplaced() {
        begin(51);
        cluster.addController(4, "d", List.of(1, 2, 3));
        cluster.run(cluster.now() + CATCH_UP_MS);
        final SimulatedProcess former = cluster.processes.get(voters().first());
        cluster.kill(former, true);
        cluster.run(cluster.now() + CATCH_UP_MS);
        int successor = 5;
        for (final int id : List.of(1, 2, 3)) {
            if (id != former.id) {
                replace(cluster.processes.get(id), successor++);
                cluster.run(cluster.now() + CATCH_UP_MS);
            }
        }
        changeUntilAcknowledged("without-founders");
        cluster.restart(former);
        until(
                "its return",
                8_000,
                () -> membership().holds(former.id)
                        && group(former).committed() == group(leader()).committed());
        assertEquals(
                former.node.heartbeatPeers().size(),
                membership().voters().size(),
                "it still sends heartbeats to replaced controllers");
        assertReadBackEverywhere();
    }

    @Test
    public void failureBetweenPromotionAndRemovalLosesNothing() {
        for (long seed = 61; seed < 69; seed++) {
            begin(seed);
            cluster.addController(4, "d", List.of(1, 2, 3));
            // The zones of the founding controllers are unknown, so the new one adds a zone and is promoted once all
            // are
            // steady
            until("the promotion", 60_000, () -> voters().size() == 4);
            final SimulatedProcess leader = leader();
            changeUntilAcknowledged("in-between");
            final boolean diskLost = seed % 2 == 0;
            final SimulatedProcess target =
                    cluster.processes.get(nodes(membership().voters()).stream()
                            .filter(id -> id != leader.id && (diskLost ? id != 4 : id < 4))
                            .reduce((a, b) -> b)
                            .orElseThrow());
            cluster.kill(target, true);
            if (diskLost) {
                target.disk.wipe();
            }
            cluster.run(cluster.now() + 1_500);
            changeUntilAcknowledged("after-it");
            cluster.restart(target);
            cluster.run(cluster.now() + 3_000);
            until(
                    "an odd number of voters",
                    6_000,
                    () -> voters().size() == 3 && group(leader()).membershipSettled());
            assertReadBackEverywhere();
            restartAllAfterPowerLoss();
            assertReadBackEverywhere();
        }
    }

    @Test
    public void groupGrowsToFiveVotersToTolerateTwoLosses() {
        cluster = new SimulatedCluster(71, FleetSize.SMALL, EnumSet.noneOf(Mutation.class));
        cluster.toleratedLosses = 2;
        cluster.run(4_000);
        version = 0;
        changeUntilAcknowledged("first");
        cluster.addController(4, "d", List.of(1));
        cluster.addController(5, "e", List.of(2));
        until("five voters", 5_000, () -> voters().size() == 5);
        until("their acceptance", 1_000, () -> group(leader()).membershipSettled());
        changeUntilAcknowledged("with-five");
        cluster.kill(leader(), true);
        changeUntilAcknowledged("with-four");
        cluster.kill(leader(), true);
        changeUntilAcknowledged("with-three");
        assertReadBackEverywhere();
    }

    @Test
    public void membershipIsStableWithoutFailures() {
        begin(81);
        cluster.addController(4, "d", List.of(1, 2, 3));
        cluster.run(cluster.now() + 60_000);
        final SimulatedProcess leader = leader();
        assertNotNull(leader);
        final int groupVersion = group(leader).groupVersion();
        final long end = group(leader).endIndex();
        cluster.run(cluster.now() + 60_000);
        assertEquals(leader(), leader);
        assertEquals(group(leader).groupVersion(), groupVersion, lastNotes());
        assertTrue(
                group(leader).endIndex() - end <= 20,
                "the log grew by " + (group(leader).endIndex() - end));
        assertNull(Membership.find(membership().voters(), 99));
    }
}
