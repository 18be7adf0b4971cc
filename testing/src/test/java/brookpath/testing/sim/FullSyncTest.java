package brookpath.testing.sim;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.node.StorageNode;
import brookpath.state.record.LogRecord;
import brookpath.state.record.PackedBuffer;
import java.util.Arrays;
import org.testng.annotations.Test;

/** A large full sync over a slow link keeps the heartbeats in time, and continues after a lost session. */
public final class FullSyncTest {
    private static final int GROUP = 0;
    private static final int SLOW_BITS_PER_SECOND = 2_800_000;
    private static final int RECORDS = 2_000;
    private static final int RECORD_BYTES = 10 << 10;
    /** The transfer time without loss: 20 MB at 350 kB/s take 59 s. */
    private static final long TRANSFER_MS = 59_000;

    private SimulatedCluster cluster;

    @Test
    public void heartbeatsArriveBetweenThePartsOfALargeSnapshot() {
        final SimulatedProcess joiner = wipedMemberBehindASlowLink(21);
        final long from = cluster.now();
        long unheard = 0;
        while (group(joiner).lost() && cluster.now() < from + 2 * TRANSFER_MS) {
            cluster.run(cluster.now() + 10);
            unheard += cluster.now() > from + 3_000 && group(joiner).leaderHeard() == 0 ? 10 : 0;
        }
        System.out.println("MEASURED full sync of 20 MB: " + (cluster.now() - from) + " ms, leader unheard " + unheard);
        assertTrue(
                !group(joiner).lost(),
                "not rebuilt after " + 2 * TRANSFER_MS + " ms: " + group(joiner).why());
        assertEquals(unheard, 0L, "the snapshot delayed the heartbeats");
        assertTrue(cluster.now() - from < TRANSFER_MS * 3 / 2, "took " + (cluster.now() - from) + " ms");
    }

    @Test
    public void aTransferContinuesAfterALostSession() {
        final SimulatedProcess joiner = wipedMemberBehindASlowLink(22);
        final long from = cluster.now();
        cluster.run(from + TRANSFER_MS / 2);
        cutOff(joiner);
        cluster.run(cluster.now() + 5_000);
        cluster.net.heal();
        while (group(joiner).lost() && cluster.now() < from + 3 * TRANSFER_MS) {
            cluster.run(cluster.now() + 10);
        }
        System.out.println("MEASURED full sync cut once for 5 s: " + (cluster.now() - from) + " ms");
        assertTrue(!group(joiner).lost(), "not rebuilt: " + group(joiner).why());
        // a transfer that restarted would send the first half again, and take half as long again
        assertTrue(cluster.now() - from < TRANSFER_MS * 5 / 4 + 5_000, "took " + (cluster.now() - from) + " ms");
    }

    /** Retires the spare machine, so that a member that is away is not replaced. */
    private void retireSpare() {
        final SimulatedProcess spare = cluster.storages.stream()
                .map(cluster.processes::get)
                .filter(p -> group(p) == null)
                .findFirst()
                .orElseThrow();
        cluster.callers.operators.operate(
                "retire", PackedBuffer.writer().putLong(spare.id).putLong(1).toByteArray());
        cluster.run(cluster.now() + 8_000);
    }

    private SimulatedProcess wipedMemberBehindASlowLink(final long seed) {
        cluster = ServingCluster.start(seed);
        retireSpare();
        final SimulatedProcess leader = leader();
        // the log has to be trimmed, or else the joining member pulls it record by record instead of a snapshot
        for (int i = 0; i < 200; i++) {
            append(leader, i, 10);
        }
        cluster.run(cluster.now() + 60_000);
        assertNotEquals(group(leader()).baseIndex(), 0L, "nothing was trimmed");
        for (int i = 0; i < RECORDS; i++) {
            append(leader(), 1_000 + i, RECORD_BYTES);
        }
        cluster.run(cluster.now() + 3_000);
        final SimulatedProcess joiner = cluster.processes.get(group(leader()).members().stream()
                .map(m -> m.node())
                .filter(n -> n != leader().id)
                .findFirst()
                .orElseThrow());
        cluster.kill(joiner, false);
        joiner.disk.wipe();
        for (final int id : cluster.processes.keySet()) {
            cluster.net.linkBitsPerSecond.put(SimulatedNetwork.link(id, joiner.id), SLOW_BITS_PER_SECOND);
        }
        cluster.run(cluster.now() + 500);
        cluster.restart(joiner);
        cluster.run(cluster.now() + 1_000);
        assertTrue(group(joiner).lost());
        return joiner;
    }

    private void append(final SimulatedProcess leader, final int seq, final int bytes) {
        final char[] text = new char[bytes];
        Arrays.fill(text, 'x');
        group(leader)
                .append(
                        LogRecord.PUBLISH,
                        LogRecord.publishBody(seq + 1, 2, "members", "permits/large", "ana", new String(text)),
                        leader.mono(),
                        SimulatedCluster.WALL_CLOCK_START_MS + cluster.now());
        if (seq % 10 == 0) {
            cluster.run(cluster.now() + 1);
        }
    }

    private void cutOff(final SimulatedProcess joiner) {
        for (final int id : cluster.processes.keySet()) {
            cluster.net.cut(id, joiner.id);
            cluster.net.cut(joiner.id, id);
        }
    }

    private SimulatedProcess leader() {
        return cluster.storages.stream()
                .map(cluster.processes::get)
                .filter(p -> p.alive && group(p) != null && group(p).mayAct(p.mono()))
                .findFirst()
                .orElseThrow();
    }

    private static GroupMachine group(final SimulatedProcess p) {
        return ((StorageNode) p.node).group(GROUP);
    }
}
