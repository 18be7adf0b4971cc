package brookpath.testing.sim;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.action.Action;
import brookpath.coordination.action.Actions;
import brookpath.coordination.configuration.Configuration;
import brookpath.coordination.configuration.ConfigurationClient;
import brookpath.coordination.configuration.PackedConfiguration;
import brookpath.coordination.configuration.VersionUpdates;
import brookpath.coordination.controllog.ControlState;
import brookpath.coordination.message.PeerMessage.ConfigurationPoll;
import brookpath.coordination.message.PeerMessage.ConfigurationReply;
import brookpath.coordination.message.Response;
import brookpath.coordination.metadata.ClusterMetadata.NodeInfo;
import brookpath.coordination.node.GatewayNode;
import brookpath.coordination.node.Node.Time;
import brookpath.state.record.Delta;
import brookpath.state.record.LogRecord;
import brookpath.testing.DeltaBase;
import java.util.List;
import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Configuration changes are sent as deltas, both to the replicas of the control log and to the processes that follow
 * the configuration.
 */
public final class ConfigurationUpdatesTest extends ControlScene {
    private static final int CHANGES = 300;
    private static final int FEW_SPACES = 120;
    private static final int MANY_SPACES = 480;
    private static final int MOST_SPACES = 14_000;
    private static final List<String> CARRIERS = List.of("PullReply", "SpecReply");
    private static final Time NOW = new Time(10_000, 10_000);

    /** A document like those that operators send: many spaces, and the complete document again as its annotation. */
    private String large(final long basedOn, final String changeId, final int changed, final int spaces) {
        final StringBuilder further = new StringBuilder("\"spaces\":[");
        for (int i = 0; i < spaces; i++) {
            final int keeping = i == changed % spaces ? 36 : 35;
            further.append("{\"name\":\"further-")
                    .append(i)
                    .append("\",\"keepingSeconds\":")
                    .append(keeping)
                    .append("},");
        }
        final String whole = document(basedOn, changeId).replaceFirst("\"spaces\":\\[", further.toString());
        final String annotation = whole.replace("\\", "\\\\").replace("\"", "\\\"");
        return whole.substring(0, whole.length() - 1) + ",\"annotation\":\"" + annotation + "\"}";
    }

    private long changed(final long basedOn, final String changeId, final int which) {
        return changed(basedOn, changeId, which, FEW_SPACES);
    }

    private long changed(final long basedOn, final String changeId, final int which, final int spaces) {
        final Response response = awaitFinalResponse(large(basedOn, changeId, which, spaces), changeId);
        assertEquals(response.status(), 200, response.toString());
        return version(response);
    }

    private long carriedBytes() {
        final Map<String, Long> bytes = cluster.net.crossZoneBytes;
        return CARRIERS.stream().mapToLong(c -> bytes.getOrDefault(c, 0L)).sum();
    }

    @DataProvider
    public static Object[][] sizes() {
        return new Object[][] {{FEW_SPACES}, {MANY_SPACES}};
    }

    @Test(dataProvider = "sizes")
    public void manyChangesTransferDeltasAndNotWholeDocuments(final int spaces) {
        begin(61);
        long version = version(awaitResponse(askConfiguration(leader())).response);
        version = changed(version, "larger", 0, spaces);
        final long before = carriedBytes();
        final long from = cluster.now();
        for (int i = 1; i <= CHANGES; i++) {
            version = changed(version, "storm-" + i, i, spaces);
        }
        final long bytes = carriedBytes() - before;
        final long lasted = cluster.now() - from;
        cluster.run(cluster.now() + lasted);
        final long idleBytes = carriedBytes() - before - bytes;
        final long document =
                large(version, "storm-" + CHANGES, CHANGES, spaces).length();
        System.out.println("MEASURED " + CHANGES + " changes of a document of " + document + " bytes carried " + bytes
                + " bytes between zones to replicas and followers in " + lasted
                + " ms, and in as long a time without changes "
                + idleBytes);
        assertTrue(bytes < CHANGES * document, bytes + " bytes: more than one complete document per change");
        for (final int id : cluster.gateways) {
            final GatewayNode gateway = (GatewayNode) cluster.processes.get(id).node;
            assertEquals(gateway.client().configuration().version(), version);
        }
    }

    @Test
    public void acceptsAConfigurationWithThousandsOfSpacesAndItsGrowth() {
        begin(63);
        long version = version(awaitResponse(askConfiguration(leader())).response);
        version = changed(version, "thousands", 0, MOST_SPACES);
        final long before = carriedBytes();
        version = changed(version, "one-more", 1, MOST_SPACES + 1);
        assertTrue(
                carriedBytes() - before < 100_000,
                "a change that adds one space carried " + (carriedBytes() - before) + " bytes");
        for (final int id : cluster.gateways) {
            final GatewayNode gateway = (GatewayNode) cluster.processes.get(id).node;
            assertEquals(gateway.client().configuration().version(), version);
        }
    }

    @Test
    public void newLeaderUpdatesFollowersFromVersionsThatItNeverSent() {
        begin(62);
        long version = version(awaitResponse(askConfiguration(leader())).response);
        for (int i = 0; i < 6; i++) {
            version = changed(version, "before-" + i, i);
            cluster.kill(leader(), true);
            cluster.run(cluster.now() + 1_500);
            others(actingLeader()).forEach(p -> {
                if (!p.alive) {
                    cluster.restart(p);
                }
            });
            version = changed(version, "after-" + i, i + 1);
        }
        assertTrue(cluster.history.violations().isEmpty(), String.join("\n", cluster.history.violations()));
    }

    @Test
    public void logStoresDeltasAndStateStoresWholeDocuments() {
        final ControlState state = new ControlState();
        final byte[] first = "x".repeat(1_000).getBytes(UTF_8);
        final byte[] second = ("x".repeat(500) + "y" + "x".repeat(500)).getBytes(UTF_8);
        state.apply(record(1, ControlState.configurationBody(state.configurationAt(1), "one", 1, 1, first)));
        final byte[] body = ControlState.configurationBody(state.configurationAt(1), "two", 2, 2, second);
        assertTrue(body.length < 200, "a record of " + body.length + " bytes");
        state.apply(record(2, body));
        assertEquals(state.configurationAt(1).document(), first);
        assertEquals(state.configurationAt(2).document(), second);
        final ControlState loaded = new ControlState();
        loaded.load(state.save());
        assertEquals(loaded.configurationAt(2).document(), second);
        loaded.apply(record(3, ControlState.configurationBody(loaded.configurationAt(2), "three", 3, 3, first)));
        assertEquals(loaded.configurationAt(3).document(), first);
    }

    private static LogRecord record(final long index, final byte[] body) {
        return LogRecord.of(index, 1, 0, LogRecord.CONTROL, body, 0);
    }

    @Test
    public void updatesAreDeltasFromTheFollowersVersion() throws Delta.MismatchException {
        final VersionUpdates updates = new VersionUpdates();
        assertEquals(updates.updateFrom(0), VersionUpdates.NO_UPDATE);
        for (int version = 1; version <= 40; version++) {
            updates.setNewest(version, encoded(version));
        }
        assertEquals(updates.updateFrom(40), VersionUpdates.NO_UPDATE);
        assertEquals(updates.updateFrom(41), VersionUpdates.NO_UPDATE);
        assertFalse(DeltaBase.isEmpty(updates.updateFrom(39)));
        assertEquals(Delta.apply(encoded(39), updates.updateFrom(39)), encoded(40));
        assertEquals(Delta.apply(encoded(25), updates.updateFrom(25)), encoded(40));
        assertTrue(DeltaBase.isEmpty(updates.updateFrom(24)), "a version that is no longer kept");
        assertTrue(DeltaBase.isEmpty(updates.updateFrom(-1)), "a follower without any version");
        updates.clear();
        assertEquals(updates.updateFrom(1), VersionUpdates.NO_UPDATE);
    }

    @Test
    public void noDeltaIsBasedOnADocumentThatDidNotExist() {
        final VersionUpdates updates = new VersionUpdates();
        updates.setNewest(0, encoded(0));
        assertEquals(updates.updateFrom(-1), VersionUpdates.NO_UPDATE);
        updates.setNewest(1, encoded(1));
        assertTrue(DeltaBase.isEmpty(updates.updateFrom(0)), "a follower without a document got a delta");
    }

    @Test
    public void noProcessRequestsTheCompleteConfigurationAfterAStartWithoutFaults() {
        begin(64);
        assertEquals(
                cluster.notes().stream()
                        .filter(n -> n.contains("asks for the whole"))
                        .toList(),
                List.of());
    }

    @Test
    public void fewLargeVersionsAreKeptButAlwaysTheNewest() throws Delta.MismatchException {
        final VersionUpdates updates = new VersionUpdates();
        updates.setNewest(1, new byte[2_700_000]);
        updates.setNewest(2, new byte[2_800_000]);
        assertTrue(DeltaBase.isEmpty(updates.updateFrom(1)));
        updates.setNewest(3, new byte[5_000_000]);
        assertEquals(Delta.apply(new byte[0], updates.updateFrom(2)), new byte[5_000_000]);
    }

    private static byte[] encoded(final int version) {
        return PackedConfiguration.encode(
                new Configuration(version, 0, "change".repeat(20), Map.of(), Map.of(), Map.of(), 64));
    }

    @Test
    public void requestsTheCompleteDocumentAfterADeltaThatDoesNotApply() {
        final Actions out = new Actions();
        final ConfigurationClient client = new ConfigurationClient(
                new NodeInfo(31, "a", "sim:31", "", 31),
                ConfigurationPoll.GATEWAY,
                List.of(1),
                100,
                TimingBounds.DEFAULT,
                out);
        client.tick(NOW);
        assertTrue(client.onReply(reply(poll(out), 1, Delta.full(encoded(1))), NOW));
        assertEquals(client.configuration().version(), 1);
        final ConfigurationPoll second = poll(out);
        assertEquals(second.configurationVersion(), 1);
        assertFalse(client.onReply(reply(second, 2, Delta.between(encoded(9), encoded(2))), NOW));
        assertEquals(client.configuration().version(), 1, "a delta from another document was applied");
        final ConfigurationPoll third = poll(out);
        assertEquals(third.configurationVersion(), -1, "the complete document was not requested");
        assertTrue(client.onReply(reply(third, 2, Delta.full(encoded(2))), NOW));
        assertEquals(client.configuration().version(), 2);
        assertEquals(poll(out).configurationVersion(), 2);
    }

    private static ConfigurationPoll poll(final Actions out) {
        final ConfigurationPoll poll = out.drain().stream()
                .filter(a -> a instanceof Action.Send s && s.message() instanceof ConfigurationPoll)
                .map(a -> (ConfigurationPoll) ((Action.Send) a).message())
                .reduce((first, second) -> second)
                .orElse(null);
        assertNotNull(poll, "no poll was sent");
        return poll;
    }

    private static ConfigurationReply reply(
            final ConfigurationPoll poll, final long version, final byte[] configuration) {
        return new ConfigurationReply(
                poll.pollId(), true, 1, 1, version, configuration, 0, new byte[0], 31, NOW.wall());
    }
}
