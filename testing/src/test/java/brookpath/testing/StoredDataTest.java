package brookpath.testing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.configuration.StoredConfiguration;
import brookpath.coordination.controllog.ControlState;
import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.group.Member;
import brookpath.coordination.group.Membership;
import brookpath.coordination.metadata.ClusterMetadata;
import brookpath.coordination.metadata.ClusterMetadata.NodeInfo;
import brookpath.coordination.node.ControllerNode;
import brookpath.coordination.node.Node;
import brookpath.coordination.node.Node.Time;
import brookpath.coordination.node.StorageNode;
import brookpath.coordination.node.control.GroupBootstrap;
import brookpath.state.disk.FolderDisk;
import brookpath.state.disk.MachineIdentity;
import brookpath.state.record.ChunkedBuffer;
import brookpath.state.record.PackedBuffer;
import brookpath.state.wal.WriteAheadLog;
import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.testng.annotations.AfterClass;
import org.testng.annotations.Test;

/**
 * This release reads data folders of an earlier release, which {@code sim.StoredDataWriter} wrote: the ends of the
 * logs, the terms and votes, the members, the machine's identity, the snapshot and the configuration.
 */
public final class StoredDataTest {
    private static final int CONTROLLER = 2;
    private static final int STORAGE_NODE = 12;
    private static final int GROUPS = 4;
    private static final int TOLERATED_LOSSES = 1;
    private static final int ROLL_BYTES = 64 << 10;
    private static final Time START = new Time(0, 0);
    /** The header of an entry in a segment: length, checksum and synced length. */
    private static final int ENTRY_HEADER_BYTES = 16;
    /** The kind of the entry that holds the term and the vote, which follow the kind. */
    private static final int VOTE_ENTRY = 3;

    private final GoldenFile golden = new GoldenFile(StoredDataTest.class, "stored-data.txt");

    /** Replays a recovered log as a process does at startup, and compares the resulting state. */
    @FunctionalInterface
    private interface RecoveryCheck {
        void check(String name, WriteAheadLog.Recovery recovery);
    }

    @Test
    public void aControllersFolderIsReadAfterACleanStop() throws Exception {
        readAfterCleanStop("controller, clean stop", "controller", this::checkController);
    }

    @Test
    public void aControllersFolderIsReadAfterATornWrite() throws Exception {
        readAfterTornWrite("controller, torn write", "controller", this::checkController);
    }

    @Test
    public void aStorageNodesFolderIsReadAfterACleanStop() throws Exception {
        readAfterCleanStop("storage node, clean stop", "storage-node", this::checkStorageNode);
    }

    @Test
    public void aStorageNodesFolderIsReadAfterATornWrite() throws Exception {
        readAfterTornWrite("storage node, torn write", "storage-node", this::checkStorageNode);
    }

    private void readAfterCleanStop(final String name, final String folder, final RecoveryCheck check)
            throws Exception {
        final Path copied = copy(folder);
        read(name, copied, check, List.of());
    }

    private void readAfterTornWrite(final String name, final String folder, final RecoveryCheck check)
            throws Exception {
        final Path copied = copy(folder);
        final Path segment = segment(copied);
        final byte[] bytes = Files.readAllBytes(segment);
        final int last = lastEntryOffset(bytes);
        final int length = length(bytes, last);
        Files.write(segment, Arrays.copyOf(bytes, last + ENTRY_HEADER_BYTES + length / 2));
        read(name, copied, check, List.of(segment.getFileName() + ": torn tail truncated at byte " + last));
        assertEquals(Files.size(segment), last, "the torn entry was not truncated");
    }

    private void read(final String name, final Path folder, final RecoveryCheck check, final List<String> findings) {
        try (FolderDisk disk = new FolderDisk(folder)) {
            final MachineIdentity identity = MachineIdentity.loadOrCreate(disk, -1);
            golden.assertHolds(name + ", machine", identity.number() + " " + identity.finding());
            final WriteAheadLog.Recovery recovery = WriteAheadLog.recover(disk);
            assertEquals(recovery.findings(), findings);
            assertFalse(recovery.damaged());
            assertTrue(recovery.snapshot() != null, "the folder has no snapshot");
            golden.assertHolds(name + ", snapshot", sha256(List.of(recovery.snapshot())));
            golden.assertHolds(name + ", entries", recovery.entries().size() + " " + sha256(recovery.entries()));
            check.check(name, recovery);
        }
    }

    private void checkController(final String name, final WriteAheadLog.Recovery recovery) {
        final ControllerNode node = new ControllerNode(
                CONTROLLER,
                List.of(),
                new GroupBootstrap(GROUPS, 3, 4, TOLERATED_LOSSES),
                TimingBounds.DEFAULT,
                1,
                1,
                ROLL_BYTES);
        replay(node, recovery);
        final GroupMachine group = node.group();
        checkGroup(name, group);
        final ControlState state = (ControlState) group.live();
        final StoredConfiguration stored = state.configurationAt(group.endIndex());
        golden.assertHolds(
                name + ", configuration",
                "version " + stored.version() + " of " + stored.configuration().changeId() + ", document "
                        + sha256(List.of(stored.document())));
        final ClusterMetadata metadata = state.metadataAt(group.endIndex());
        golden.assertHolds(
                name + ", cluster",
                "version " + metadata.version() + ", " + metadata.groups().size() + " groups, nodes "
                        + metadata.nodes().stream().map(NodeInfo::node).toList() + ", "
                        + sha256(List.of(metadata.save())));
    }

    private void checkStorageNode(final String name, final WriteAheadLog.Recovery recovery) {
        final StorageNode node = new StorageNode(
                new NodeInfo(STORAGE_NODE, "b", "sim:12", "machine-12", 1),
                List.of(1, 2, 3),
                TimingBounds.DEFAULT,
                TOLERATED_LOSSES,
                1,
                1,
                ROLL_BYTES,
                Long.MAX_VALUE);
        replay(node, recovery);
        int groupsFound = 0;
        for (int id = 0; id < GROUPS; id++) {
            if (node.group(id) != null) {
                checkGroup(name, node.group(id));
                groupsFound++;
            }
        }
        assertTrue(groupsFound > 1, "only " + groupsFound + " groups in the folder");
    }

    private static void replay(final Node node, final WriteAheadLog.Recovery recovery) {
        recovery.allEntries().forEach(entry -> node.replay(entry, START));
    }

    private void checkGroup(final String name, final GroupMachine group) {
        final List<byte[]> checkpoint = group.checkpoint(START.mono()).stream()
                .map(ChunkedBuffer::toByteArray)
                .toList();
        golden.assertHolds(
                name + ", group " + group.id(),
                "term " + group.term() + ", " + vote(checkpoint) + ", entries after " + group.baseIndex() + " up to "
                        + group.endIndex() + ", known as committed " + group.committed() + ", members "
                        + members(group.membership()) + ", all of it " + sha256(checkpoint));
    }

    private static String vote(final List<byte[]> checkpoint) {
        for (final byte[] entry : checkpoint) {
            final PackedBuffer in = PackedBuffer.reader(entry).skipBytes(Long.BYTES);
            if (in.getLong() == VOTE_ENTRY) {
                return "vote in term " + in.getLong() + " for " + in.getLong();
            }
        }
        return "no vote";
    }

    private static String members(final Membership membership) {
        return "version " + membership.version() + " voters " + nodes(membership.voters()) + " learners "
                + nodes(membership.learners());
    }

    private static String nodes(final List<Member> members) {
        return members.stream().map(m -> m.node() + "/" + m.weight()).collect(Collectors.joining(" "));
    }

    /** Returns a copy of a stored folder, which the test may modify. */
    private static Path copy(final String folder) throws IOException, URISyntaxException {
        final Path from = Path.of(
                StoredDataTest.class.getResource("stored-data/" + folder).toURI());
        final Path to = Files.createTempDirectory("stored-data");
        try (Stream<Path> files = Files.list(from)) {
            for (final Path file : files.toList()) {
                Files.copy(file, to.resolve(file.getFileName().toString()));
            }
        }
        return to;
    }

    private static Path segment(final Path folder) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.filter(file -> file.getFileName().toString().startsWith("seg-"))
                    .findFirst()
                    .orElseThrow();
        }
    }

    /** Returns the offset of the last entry with a payload; those without are sync marks. */
    private static int lastEntryOffset(final byte[] segment) {
        int last = -1;
        for (int at = 0; at < segment.length; at += ENTRY_HEADER_BYTES + length(segment, at)) {
            if (length(segment, at) > 0) {
                last = at;
            }
        }
        return last;
    }

    private static int length(final byte[] segment, final int at) {
        return ByteBuffer.wrap(segment).order(ByteOrder.LITTLE_ENDIAN).getInt(at);
    }

    private static String sha256(final List<byte[]> parts) {
        try {
            final MessageDigest digest = MessageDigest.getInstance("SHA-256");
            parts.forEach(digest::update);
            return HexFormat.of().formatHex(digest.digest());
        } catch (final java.security.NoSuchAlgorithmException ex) {
            throw new IllegalStateException(ex);
        }
    }

    @AfterClass
    public void write() throws IOException {
        golden.write();
    }
}
