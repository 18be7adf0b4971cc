package brookpath.testing.sim;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import brookpath.coordination.controllog.ControlState;
import brookpath.coordination.message.Response;
import brookpath.coordination.metadata.ClusterMetadata;
import brookpath.coordination.metadata.ClusterMetadata.GroupInfo;
import brookpath.state.record.LogRecord;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** An order that was taken is acknowledged however often it is sent, and never refused. */
public final class OrderRepeatsTest extends ControlScene {
    private static final int LEAVING = 11;
    private static final String LEAVING_NAME = "machine-11";

    private void retireNamed(final String name) {
        for (int i = 0; i < 20; i++) {
            if (answered(askRetireNamed(leader(), name)).status() == 202) {
                return;
            }
            world.run(world.now() + 200);
        }
        throw new AssertionError("the order was never acknowledged");
    }

    private void untilEmpty(final int node) {
        for (int i = 0; i < 300; i++) {
            world.run(world.now() + 100);
            if (metadata(leader()).groups().stream()
                    .noneMatch(g -> g.membership().holds(node))) {
                return;
            }
        }
        throw new AssertionError("node " + node + " is not empty after 30 s");
    }

    private void assertNoViolations() {
        assertTrue(world.history.violations().isEmpty(), String.join("\n", world.history.violations()));
    }

    @Test
    public void aRetirementThatWasAcknowledgedOutlivesALossOfPower() {
        begin(120);
        world.run(world.now() + 3_000);
        final SimulatedProcess leader = leader();
        // why: the record is on no second disk for a while, though heartbeats are answered and the lease runs
        others(leader).forEach(p -> p.syncMs = 400);
        final Asked order = askRetire(leader, LEAVING);
        for (int i = 0; i < 2_000 && order.response == null; i++) {
            world.run(world.now() + 1);
        }
        world.controllers.forEach(id -> world.kill(world.processes.get(id), true));
        others(leader).forEach(p -> {
            p.syncMs = 2;
            world.restart(p);
        });
        final SimulatedProcess next = leader();
        world.run(world.now() + 500);
        assertEquals(order.status(), 202, order.toString());
        assertTrue(metadata(next).retiring().contains(LEAVING), "acknowledged and lost: " + order);
    }

    @Test
    public void aRetirementIsAcknowledgedAgainWhileItIsUnderWay() {
        begin(121);
        world.run(world.now() + 3_000);
        assertEquals(answered(askRetire(leader(), LEAVING)).status(), 202);
        // why: now no live machine can take the copies, which must not turn the order into a refused one
        world.kill(world.processes.get(12), false);
        world.kill(world.processes.get(13), false);
        world.run(world.now() + 4_000);
        for (int i = 0; i < 3; i++) {
            final Asked again = answered(askRetire(world.processes.get(world.controllers.get(i)), LEAVING));
            assertEquals(again.status(), 202, again.toString());
        }
    }

    @Test
    public void aRetirementIsAcknowledgedAgainWhenTheMachineIsGone() {
        begin(122);
        world.run(world.now() + 3_000);
        retireNamed(LEAVING_NAME);
        untilEmpty(LEAVING);
        world.kill(world.processes.get(LEAVING), true);
        world.run(world.now() + 6_000);
        forget(LEAVING);
        world.run(world.now() + 500);
        assertEquals(metadata(leader()).node(LEAVING), null, "nothing was staged");
        for (int round = 0; round < 2; round++) {
            for (final int id : world.controllers) {
                final SimulatedProcess p = world.processes.get(id);
                assertEquals(answered(askRetireNamed(p, LEAVING_NAME)).status(), 202);
                final Asked state = answered(ask(p, "retired", LEAVING_NAME.getBytes(UTF_8)));
                assertEquals(state.status(), 200, state.toString());
                assertTrue(state.response.json().contains("true"), state.toString());
                assertEquals(answered(askRetireNamed(p, "nobody")).status(), 404);
            }
            // why: what is remembered must come back from the disks, and from another leader
            world.controllers.forEach(id -> world.kill(world.processes.get(id), true));
            world.controllers.forEach(id -> world.restart(world.processes.get(id)));
            leader();
            world.run(world.now() + 4_000);
        }
    }

    /** The cluster metadata names the machine no more. */
    private void forget(final int node) {
        final SimulatedProcess leader = leader();
        final ClusterMetadata was = metadata(leader);
        final List<GroupInfo> groups = was.groups();
        final ClusterMetadata then = was.with(
                was.nodes().stream().filter(n -> n.node() != node).toList(),
                groups,
                was.retiring().stream().filter(n -> n != node).toList());
        leader.run(p -> {
            group(p).append(LogRecord.CONTROL, ControlState.metadataBody(then), p.mono(), world.now());
            return List.of();
        });
    }

    @Test
    public void aLeaderThatHasNotHeardTheStorageMachinesYetRefusesNoRetirement() {
        begin(123);
        world.run(world.now() + 3_000);
        world.kill(leader(), false);
        for (int i = 0; i < 2_000 && actingLeader() == null; i++) {
            world.run(world.now() + 1);
        }
        final Asked order = askRetire(leader(), LEAVING);
        world.run(world.now() + 2_900);
        assertTrue(order.status() == 202 || order.unclear(), order.toString());
        world.run(world.now() + 3_000);
        assertEquals(answered(askRetire(leader(), LEAVING)).status(), 202);
    }

    @Test
    public void refusedDocumentsPushNoAcknowledgedChangeOut() {
        begin(124);
        final String newest = document(1, "acknowledged");
        assertEquals(settled(newest, "acknowledged").status(), 200);
        int refused = 0;
        for (int batch = 0; batch < 100; batch++) {
            final List<Asked> stale = new ArrayList<>();
            for (int i = 0; i < 50; i++) {
                stale.add(askChange(leader(), document(0, "stale-" + batch + "-" + i)));
            }
            for (final Asked asked : stale) {
                refused += answered(asked).status() == 409 ? 1 : 0;
            }
        }
        assertEquals(refused, 5_000);
        for (final int id : world.controllers) {
            final Asked again = answered(askChange(world.processes.get(id), newest));
            assertEquals(again.status(), 200, again.toString());
            assertEquals(version(again.response), 2);
        }
    }

    @Test
    public void refusalsLeaveNothingInTheControlLog() {
        begin(125);
        final SimulatedProcess leader = leader();
        final long end = group(leader).endIndex();
        assertEquals(answered(askChange(leader, document(0, "stale"))).status(), 409);
        final String odd = document(1, "odd").replace("\"sender\"", "\"sideways\"");
        assertEquals(answered(askChange(leader, odd)).status(), 422);
        assertEquals(group(leader).endIndex(), end, "a refusal was appended");
    }

    @Test
    public void aChangeIsAcknowledgedAgainAfterHundredsOfOthers() {
        begin(126);
        final String first = document(1, "early");
        assertEquals(settled(first, "early").status(), 200);
        for (int i = 2; i < 302; i++) {
            assertEquals(settled(document(i, "later-" + i), "later-" + i).status(), 200);
        }
        for (int round = 0; round < 2; round++) {
            for (final int id : world.controllers) {
                final Asked again = answered(askChange(world.processes.get(id), first));
                assertEquals(again.status(), 200, again.toString());
                assertEquals(version(again.response), 2, again.toString());
            }
            world.controllers.forEach(id -> world.kill(world.processes.get(id), true));
            world.controllers.forEach(id -> world.restart(world.processes.get(id)));
            leader();
            world.run(world.now() + 4_000);
        }
        assertNoViolations();
    }

    @Test
    public void theSameChangeAtThreeNodesAtOnceMakesOneVersion() {
        for (long seed = 130; seed < 140; seed++) {
            begin(seed);
            final String document = document(1, "same");
            final List<Asked> asked = new ArrayList<>();
            world.controllers.forEach(id -> asked.add(askChange(world.processes.get(id), document)));
            if (seed % 2 == 0) {
                final SimulatedProcess leader = leader();
                world.at(world.now() + (seed - 130) / 2, () -> world.kill(leader, true));
            }
            world.run(world.now() + 6_000);
            for (final Asked a : asked) {
                assertTrue(a.unclear() || (a.status() == 200 && version(a.response) == 2), "seed " + seed + ": " + a);
            }
            final Response again = settled(document, "same");
            assertEquals(again.status(), 200, "seed " + seed + ": " + again);
            assertEquals(version(again), 2);
            assertNoViolations();
        }
    }

    /** Whenever the leader dies, one of the two is confirmed, now and later, and the other is not. */
    @Test
    public void ofTwoChangesOnOneVersionOneIsConfirmedThoughTheLeaderDiesAtAnyStep() {
        for (int step = 0; step < 24; step++) {
            begin(200 + step);
            final List<String> documents = List.of(document(1, "left"), document(1, "right"));
            final SimulatedProcess leader = leader();
            final int deathMs = step;
            world.at(world.now() + deathMs, () -> world.kill(leader, true));
            world.at(world.now() + deathMs + 2_000, () -> world.restart(leader));
            final List<Asked> asked = new ArrayList<>();
            // why: each goes to all nodes at once, and again after the death, as after lost answers
            for (int round = 0; round < 5; round++) {
                for (final int id : world.controllers) {
                    asked.add(askChange(world.processes.get(id), documents.get(id % 2)));
                    asked.add(askChange(world.processes.get(id), documents.get(1 - id % 2)));
                }
                world.run(world.now() + 700);
            }
            world.run(world.now() + 4_000);
            final Response left = settled(documents.get(0), "left");
            final Response right = settled(documents.get(1), "right");
            assertEquals(
                    List.of(200, 409),
                    List.of(Math.min(left.status(), right.status()), Math.max(left.status(), right.status())),
                    "step " + step);
            final String winner = left.status() == 200 ? "left" : "right";
            for (final Asked a : asked) {
                final boolean confirmed = a.status() == 200;
                final boolean refused = a.status() >= 400 && a.status() < 500;
                final boolean aboutWinner =
                        a.response != null && a.response.json().contains(winner);
                assertTrue(!confirmed || aboutWinner, "step " + step + ": the loser was confirmed: " + a);
                assertTrue(!refused || !aboutWinner, "step " + step + ": the winner was refused: " + a);
            }
            assertNoViolations();
        }
    }

    /** A refusal is final, so the version that won must be one that no loss can take back. */
    @Test
    public void aRaceIsLostOnlyToAnCommittedVersion() {
        begin(141);
        final SimulatedProcess leader = leader();
        others(leader).forEach(p -> p.syncMs = 400);
        final Asked winner = askChange(leader, document(1, "winner"));
        final Asked loser = askChange(leader, document(1, "loser"));
        world.run(world.now() + 5);
        final long appended = group(leader).endIndex();
        for (int i = 0; i < 200 && group(leader).committed() < appended; i++) {
            assertNull(winner.response, "confirmed before it is accepted: " + winner);
            assertNull(loser.response, "lost to a version that is not accepted: " + loser);
            world.run(world.now() + 5);
        }
        assertEquals(answered(winner).status(), 200);
        assertEquals(answered(loser).status(), 409);
    }

    /** No process that still has to take the change hides that its record is on one disk only. */
    @Test
    public void aChangeIsConfirmedOnlyOnceItIsCommitted() {
        begin(142);
        world.storages.forEach(id -> world.kill(world.processes.get(id), false));
        world.gateways.forEach(id -> world.kill(world.processes.get(id), false));
        world.run(world.now() + 10_000);
        final SimulatedProcess leader = leader();
        others(leader).forEach(p -> p.syncMs = 400);
        final Asked change = askChange(leader, document(1, "slow"));
        world.run(world.now() + 5);
        final long appended = group(leader).endIndex();
        for (int i = 0; i < 200 && group(leader).committed() < appended; i++) {
            assertNull(change.response, "confirmed before it is accepted: " + change);
            world.run(world.now() + 5);
        }
        assertEquals(answered(change).status(), 200);
    }

    @Test
    public void twoChangesUnderOneIdNeverBothWin() {
        begin(140);
        final String one = document(1, "twice");
        final String other = world.callers.operators.document(1, "twice", false);
        final Asked first = askChange(leader(), one);
        final Asked second = askChange(others(leader()).get(0), other);
        world.run(world.now() + 3_500);
        assertEquals(answered(askChange(leader(), one)).status() == 200, first.status() == 200);
        assertEquals(first.status() + second.status(), 200 + 409, first + " " + second);
    }
}
