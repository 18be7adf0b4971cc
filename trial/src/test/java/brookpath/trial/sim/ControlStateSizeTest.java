package brookpath.trial.sim;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import brookpath.coordination.Tempo;
import brookpath.coordination.action.Action;
import brookpath.coordination.beat.BeatTable;
import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.group.Member;
import brookpath.coordination.message.Response;
import brookpath.coordination.node.ControllerNode;
import brookpath.coordination.node.Job;
import brookpath.coordination.node.Node.Time;
import brookpath.coordination.node.control.Founding;
import brookpath.coordination.spec.ControlState;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/**
 * The control state keeps what is accepted however much follows it, and stays small however many changes there were.
 */
public final class ControlStateSizeTest {
    private static final int CHANGES_BEYOND_ANY_BOUND = 40;
    private static final int MANY_CHANGES = 2_000;
    private static final int DOCUMENT_BYTES = 100 << 10;
    /** One accepted document, those not yet accepted, the log kept for slaves that lag, and the outcomes. */
    private static final int MAX_IMAGE_BYTES = 3 << 20;

    private static final int MAX_LOG_BYTES = 2 << 20;

    @Test
    public void theAcceptedVersionStaysThoughManyNewerOnesWaitForCopies() {
        final World world = World.serving(11);
        final Proc master = controlMaster(world);
        final long accepted = acceptedVersion(master);
        assertTrue(accepted > 0);
        for (final int id : world.controllers) {
            if (id != master.id) {
                // why: the slaves answer beats, so the master leads on, but nothing that it appends reaches a disk
                // there
                world.procs.get(id).syncMs = 1_000_000;
            }
        }
        final List<Response> responses = new ArrayList<>();
        for (int i = 0; i < CHANGES_BEYOND_ANY_BOUND; i++) {
            final String doc = world.callers.operators.document(accepted + i, "waits-" + i, true);
            world.callers.asked(master, id -> new Job.Operate(id, "change", doc.getBytes(UTF_8)), responses::add);
            world.run(world.now() + 20);
            assertEquals(acceptedVersion(master), accepted, "after " + (i + 1) + " changes that are not accepted");
            assertTrue(acceptedRosterVersion(master) > 0, "no roster after " + (i + 1) + " changes");
        }
        assertTrue(
                responses.stream().anyMatch(r -> r.status() == 503 && r.retryAfterMs() > 0),
                "none was refused at once for the many that wait: " + responses);
        for (final int id : world.controllers) {
            world.procs.get(id).syncMs = 2;
        }
    }

    @Test
    public void thousandsOfLargeChangesLeaveASmallLogAndASmallSnapshot() {
        final ControllerNode node = alone();
        long mono = 0;
        for (int i = 0; i < 400; i++) {
            mono += 10;
            obey(node, node.tick(time(mono), BeatTable.EMPTY), mono);
        }
        assertEquals(node.group().role(), GroupMachine.MASTER, node.group().obstacle());
        int largest = 0;
        for (int i = 0; i < MANY_CHANGES; i++) {
            mono += 25;
            final byte[] doc = document(i);
            obey(node, node.job(new Job.Operate(i + 1, "change", doc), time(mono)), mono);
            obey(node, node.tick(time(mono + 20), BeatTable.EMPTY), mono + 20);
            largest = Math.max(largest, logBytes(node.group()));
        }
        final ControlState state = (ControlState) node.group().live();
        assertEquals(state.specAt(node.group().accepted()).version(), MANY_CHANGES);
        assertTrue(largest <= MAX_LOG_BYTES, "the log in memory grew to " + largest + " bytes");
        final int image =
                node.group().checkpoint().stream().mapToInt(e -> e.length).sum();
        assertTrue(image <= MAX_IMAGE_BYTES, "the snapshot has " + image + " bytes");
        System.out.println("after " + MANY_CHANGES + " changes: log at most " + largest + " bytes, snapshot " + image);
    }

    private static byte[] document(final int basedOn) {
        final String head = "{\"basedOn\":" + basedOn + ",\"changeId\":\"c" + basedOn
                + "\",\"spaces\":[],\"tenants\":[],\"annotation\":\"";
        return (head + "x".repeat(DOCUMENT_BYTES) + "\"}").getBytes(UTF_8);
    }

    private static ControllerNode alone() {
        final ControllerNode node = new ControllerNode(
                1, List.of(new Member(1, 50, "")), new Founding(1, 1, 1, 0), Tempo.DEFAULT, 1, 0, Long.MAX_VALUE);
        obey(node, node.start(true, time(0)), 0);
        return node;
    }

    /** A disk that syncs at once. */
    private static void obey(final ControllerNode node, final List<Action> actions, final long mono) {
        for (final Action action : actions) {
            if (action instanceof Action.Write w) {
                obey(node, node.synced(w.number(), time(mono)), mono);
            }
        }
    }

    private static Time time(final long mono) {
        return new Time(mono, World.WALL + mono);
    }

    private static int logBytes(final GroupMachine group) {
        int bytes = 0;
        for (long lsn = group.baseLsn() + 1; lsn <= group.endLsn(); lsn++) {
            bytes += group.rec(lsn).bytes().length;
        }
        return bytes;
    }

    private static Proc controlMaster(final World world) {
        return world.controllers.stream()
                .map(world.procs::get)
                .filter(p -> p.alive && ((ControllerNode) p.node).group().mayAct(p.mono()))
                .findFirst()
                .orElseThrow();
    }

    private static long acceptedVersion(final Proc p) {
        final GroupMachine group = ((ControllerNode) p.node).group();
        return ((ControlState) group.live()).specAt(group.accepted()).version();
    }

    private static long acceptedRosterVersion(final Proc p) {
        final GroupMachine group = ((ControllerNode) p.node).group();
        return ((ControlState) group.live()).rosterAt(group.accepted()).version();
    }
}
