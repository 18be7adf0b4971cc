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

/** An order that was accepted is acknowledged each time it is repeated, and never refused. */
public final class OrderRepeatsTest extends ControlScene {
    private static final int LEAVING = 11;
    private static final String LEAVING_NAME = "machine-11";

    private void retireNamed(final String name) {
        for (int i = 0; i < 20; i++) {
            if (awaitResponse(askRetireNamed(leader(), name)).status() == 202) {
                return;
            }
            cluster.run(cluster.now() + 200);
        }
        throw new AssertionError("the order was never acknowledged");
    }

    private void awaitEmpty(final int node) {
        for (int i = 0; i < 300; i++) {
            cluster.run(cluster.now() + 100);
            if (metadata(leader()).groups().stream()
                    .noneMatch(g -> g.membership().holds(node))) {
                return;
            }
        }
        throw new AssertionError("node " + node + " is not empty after 30 s");
    }

    private void assertNoViolations() {
        assertTrue(cluster.history.violations().isEmpty(), String.join("\n", cluster.history.violations()));
    }

    @Test
    public void acknowledgedRetirementSurvivesAPowerLoss() {
        begin(120);
        cluster.run(cluster.now() + 3_000);
        final SimulatedProcess leader = leader();
        // For a while no second disk has the record, though heartbeats are answered and the lease is valid
        others(leader).forEach(p -> p.syncMs = 400);
        final PendingCall order = askRetire(leader, LEAVING);
        for (int i = 0; i < 2_000 && order.response == null; i++) {
            cluster.run(cluster.now() + 1);
        }
        cluster.controllers.forEach(id -> cluster.kill(cluster.processes.get(id), true));
        others(leader).forEach(p -> {
            p.syncMs = 2;
            cluster.restart(p);
        });
        final SimulatedProcess next = leader();
        cluster.run(cluster.now() + 500);
        assertEquals(order.status(), 202, order.toString());
        assertTrue(metadata(next).retiring().contains(LEAVING), "acknowledged and lost: " + order);
    }

    @Test
    public void retirementIsAcknowledgedAgainWhileInProgress() {
        begin(121);
        cluster.run(cluster.now() + 3_000);
        assertEquals(awaitResponse(askRetire(leader(), LEAVING)).status(), 202);
        // No live node can take the replicas now, for which the repeated order must not be refused
        cluster.kill(cluster.processes.get(12), false);
        cluster.kill(cluster.processes.get(13), false);
        cluster.run(cluster.now() + 4_000);
        for (int i = 0; i < 3; i++) {
            final PendingCall again =
                    awaitResponse(askRetire(cluster.processes.get(cluster.controllers.get(i)), LEAVING));
            assertEquals(again.status(), 202, again.toString());
        }
    }

    @Test
    public void retirementIsAcknowledgedAgainAfterTheNodeIsRemoved() {
        begin(122);
        cluster.run(cluster.now() + 3_000);
        retireNamed(LEAVING_NAME);
        awaitEmpty(LEAVING);
        cluster.kill(cluster.processes.get(LEAVING), true);
        cluster.run(cluster.now() + 6_000);
        removeFromMetadata(LEAVING);
        cluster.run(cluster.now() + 500);
        assertEquals(metadata(leader()).node(LEAVING), null, "the node was not removed");
        for (int round = 0; round < 2; round++) {
            for (final int id : cluster.controllers) {
                final SimulatedProcess p = cluster.processes.get(id);
                assertEquals(awaitResponse(askRetireNamed(p, LEAVING_NAME)).status(), 202);
                final PendingCall state = awaitResponse(ask(p, "retired", LEAVING_NAME.getBytes(UTF_8)));
                assertEquals(state.status(), 200, state.toString());
                assertTrue(state.response.json().contains("true"), state.toString());
                assertEquals(awaitResponse(askRetireNamed(p, "nobody")).status(), 404);
            }
            // Retirements must survive a restart from disk, and a change of the leader
            cluster.controllers.forEach(id -> cluster.kill(cluster.processes.get(id), true));
            cluster.controllers.forEach(id -> cluster.restart(cluster.processes.get(id)));
            leader();
            cluster.run(cluster.now() + 4_000);
        }
    }

    /** Removes the node from the cluster metadata. */
    private void removeFromMetadata(final int node) {
        final SimulatedProcess leader = leader();
        final ClusterMetadata current = metadata(leader);
        final List<GroupInfo> groups = current.groups();
        final ClusterMetadata next = current.with(
                current.nodes().stream().filter(n -> n.node() != node).toList(),
                groups,
                current.retiring().stream().filter(n -> n != node).toList());
        leader.run(p -> {
            group(p).append(LogRecord.CONTROL, ControlState.metadataBody(next), p.mono(), cluster.now());
            return List.of();
        });
    }

    @Test
    public void leaderThatHasNotHeardFromTheStorageNodesRefusesNoRetirement() {
        begin(123);
        cluster.run(cluster.now() + 3_000);
        cluster.kill(leader(), false);
        for (int i = 0; i < 2_000 && actingLeader() == null; i++) {
            cluster.run(cluster.now() + 1);
        }
        final PendingCall order = askRetire(leader(), LEAVING);
        cluster.run(cluster.now() + 2_900);
        assertTrue(order.status() == 202 || order.isUnsettled(), order.toString());
        cluster.run(cluster.now() + 3_000);
        assertEquals(awaitResponse(askRetire(leader(), LEAVING)).status(), 202);
    }

    @Test
    public void refusedDocumentsEvictNoAcknowledgedChange() {
        begin(124);
        final String newest = document(1, "acknowledged");
        assertEquals(awaitFinalResponse(newest, "acknowledged").status(), 200);
        int refused = 0;
        for (int batch = 0; batch < 100; batch++) {
            final List<PendingCall> stale = new ArrayList<>();
            for (int i = 0; i < 50; i++) {
                stale.add(askChange(leader(), document(0, "stale-" + batch + "-" + i)));
            }
            for (final PendingCall call : stale) {
                refused += awaitResponse(call).status() == 409 ? 1 : 0;
            }
        }
        assertEquals(refused, 5_000);
        for (final int id : cluster.controllers) {
            final PendingCall again = awaitResponse(askChange(cluster.processes.get(id), newest));
            assertEquals(again.status(), 200, again.toString());
            assertEquals(version(again.response), 2);
        }
    }

    @Test
    public void refusalsAreNotAppendedToTheControlLog() {
        begin(125);
        final SimulatedProcess leader = leader();
        final long end = group(leader).endIndex();
        assertEquals(awaitResponse(askChange(leader, document(0, "stale"))).status(), 409);
        final String odd = document(1, "odd").replace("\"sender\"", "\"sideways\"");
        assertEquals(awaitResponse(askChange(leader, odd)).status(), 422);
        assertEquals(group(leader).endIndex(), end, "a refusal was appended");
    }

    @Test
    public void changeIsAcknowledgedAgainAfterHundredsOfOthers() {
        begin(126);
        final String first = document(1, "early");
        assertEquals(awaitFinalResponse(first, "early").status(), 200);
        for (int i = 2; i < 302; i++) {
            assertEquals(
                    awaitFinalResponse(document(i, "later-" + i), "later-" + i).status(), 200);
        }
        for (int round = 0; round < 2; round++) {
            for (final int id : cluster.controllers) {
                final PendingCall again = awaitResponse(askChange(cluster.processes.get(id), first));
                assertEquals(again.status(), 200, again.toString());
                assertEquals(version(again.response), 2, again.toString());
            }
            cluster.controllers.forEach(id -> cluster.kill(cluster.processes.get(id), true));
            cluster.controllers.forEach(id -> cluster.restart(cluster.processes.get(id)));
            leader();
            cluster.run(cluster.now() + 4_000);
        }
        assertNoViolations();
    }

    @Test
    public void sameChangeSentToThreeNodesCreatesOneVersion() {
        for (long seed = 130; seed < 140; seed++) {
            begin(seed);
            final String document = document(1, "same");
            final List<PendingCall> calls = new ArrayList<>();
            cluster.controllers.forEach(id -> calls.add(askChange(cluster.processes.get(id), document)));
            if (seed % 2 == 0) {
                final SimulatedProcess leader = leader();
                cluster.at(cluster.now() + (seed - 130) / 2, () -> cluster.kill(leader, true));
            }
            cluster.run(cluster.now() + 6_000);
            for (final PendingCall a : calls) {
                assertTrue(
                        a.isUnsettled() || (a.status() == 200 && version(a.response) == 2), "seed " + seed + ": " + a);
            }
            final Response again = awaitFinalResponse(document, "same");
            assertEquals(again.status(), 200, "seed " + seed + ": " + again);
            assertEquals(version(again), 2);
            assertNoViolations();
        }
    }

    /** At whichever step the leader crashes, exactly one of the two is confirmed, also when both are repeated. */
    @Test
    public void oneOfTwoConflictingChangesIsConfirmedAtWhicheverStepTheLeaderCrashes() {
        for (int step = 0; step < 24; step++) {
            begin(200 + step);
            final List<String> documents = List.of(document(1, "left"), document(1, "right"));
            final SimulatedProcess leader = leader();
            final int crashAfterMs = step;
            cluster.at(cluster.now() + crashAfterMs, () -> cluster.kill(leader, true));
            cluster.at(cluster.now() + crashAfterMs + 2_000, () -> cluster.restart(leader));
            final List<PendingCall> calls = new ArrayList<>();
            // Each is sent to all nodes at once, and again after the crash, as callers do after lost responses
            for (int round = 0; round < 5; round++) {
                for (final int id : cluster.controllers) {
                    calls.add(askChange(cluster.processes.get(id), documents.get(id % 2)));
                    calls.add(askChange(cluster.processes.get(id), documents.get(1 - id % 2)));
                }
                cluster.run(cluster.now() + 700);
            }
            cluster.run(cluster.now() + 4_000);
            final Response left = awaitFinalResponse(documents.get(0), "left");
            final Response right = awaitFinalResponse(documents.get(1), "right");
            assertEquals(
                    List.of(200, 409),
                    List.of(Math.min(left.status(), right.status()), Math.max(left.status(), right.status())),
                    "step " + step);
            final String winner = left.status() == 200 ? "left" : "right";
            for (final PendingCall a : calls) {
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

    /** A refusal is final, so the version that won must be one that no failure can undo. */
    @Test
    public void changeIsRefusedOnlyForACommittedVersion() {
        begin(141);
        final SimulatedProcess leader = leader();
        others(leader).forEach(p -> p.syncMs = 400);
        final PendingCall winner = askChange(leader, document(1, "winner"));
        final PendingCall loser = askChange(leader, document(1, "loser"));
        cluster.run(cluster.now() + 5);
        final long appended = group(leader).endIndex();
        for (int i = 0; i < 200 && group(leader).committed() < appended; i++) {
            assertNull(winner.response, "confirmed before it is committed: " + winner);
            assertNull(loser.response, "lost to a version that is not committed: " + loser);
            cluster.run(cluster.now() + 5);
        }
        assertEquals(awaitResponse(winner).status(), 200);
        assertEquals(awaitResponse(loser).status(), 409);
    }

    /** With no other process left to adopt the change, only the commit of its record can delay the confirmation. */
    @Test
    public void changeIsConfirmedOnlyOnceItIsCommitted() {
        begin(142);
        cluster.storages.forEach(id -> cluster.kill(cluster.processes.get(id), false));
        cluster.gateways.forEach(id -> cluster.kill(cluster.processes.get(id), false));
        cluster.run(cluster.now() + 10_000);
        final SimulatedProcess leader = leader();
        others(leader).forEach(p -> p.syncMs = 400);
        final PendingCall change = askChange(leader, document(1, "slow"));
        cluster.run(cluster.now() + 5);
        final long appended = group(leader).endIndex();
        for (int i = 0; i < 200 && group(leader).committed() < appended; i++) {
            assertNull(change.response, "confirmed before it is committed: " + change);
            cluster.run(cluster.now() + 5);
        }
        assertEquals(awaitResponse(change).status(), 200);
    }

    @Test
    public void onlyOneOfTwoDocumentsWithTheSameChangeIdIsAccepted() {
        begin(140);
        final String one = document(1, "twice");
        final String other = cluster.callers.operators.document(1, "twice", false);
        final PendingCall first = askChange(leader(), one);
        final PendingCall second = askChange(others(leader()).get(0), other);
        cluster.run(cluster.now() + 3_500);
        assertEquals(awaitResponse(askChange(leader(), one)).status() == 200, first.status() == 200);
        assertEquals(first.status() + second.status(), 200 + 409, first + " " + second);
    }
}
