package brookpath.testing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import brookpath.coordination.group.Member;
import brookpath.coordination.group.Membership;
import brookpath.coordination.metadata.ClusterMetadata;
import brookpath.coordination.metadata.ClusterMetadata.GroupInfo;
import brookpath.coordination.metadata.ClusterMetadata.NodeInfo;
import brookpath.state.disk.DiskFile;
import brookpath.state.disk.MachineIdentity;
import brookpath.state.record.PackedBuffer;
import brookpath.state.wal.WriteAheadLog;
import brookpath.testing.disk.FaultyDisk;
import java.util.List;
import java.util.SplittableRandom;
import org.testng.annotations.Test;

/** A machine stores its identity on its disk, and the cluster metadata stores those of all machines. */
public final class MachineIdentityTest {
    private static final String FILE = "machine-id";

    @Test
    public void theIdentitySurvivesAPowerLossRightAfterTheFirstStart() {
        for (int seed = 0; seed < 50; seed++) {
            final FaultyDisk disk = new FaultyDisk();
            assertEquals(MachineIdentity.loadOrCreate(disk, 7), new MachineIdentity(7, null));
            disk.powerLoss(new SplittableRandom(seed));
            assertEquals(MachineIdentity.loadOrCreate(disk, 8), new MachineIdentity(7, null), "seed " + seed);
            WriteAheadLog.recover(disk);
            assertEquals(MachineIdentity.loadOrCreate(disk, 9), new MachineIdentity(7, null));
        }
    }

    @Test
    public void aMachineWithAnEmptyDiskGetsANewIdentity() {
        final FaultyDisk disk = new FaultyDisk();
        MachineIdentity.loadOrCreate(disk, 7);
        disk.wipe();
        assertEquals(MachineIdentity.loadOrCreate(disk, 8).number(), 8);
    }

    @Test
    public void aDamagedIdentityIsReplacedByANewOne() {
        for (int length = 0; length <= 24; length++) {
            final FaultyDisk disk = new FaultyDisk();
            MachineIdentity.loadOrCreate(disk, 7);
            final DiskFile file = disk.open(FILE);
            final byte[] bytes = file.readAll();
            file.truncate(0);
            bytes[length % bytes.length] ^= 1;
            file.append(bytes, 0, length);
            final MachineIdentity after = MachineIdentity.loadOrCreate(disk, 8);
            assertEquals(after.number(), 8, length + " bytes");
            assertNotNull(after.finding());
            assertEquals(MachineIdentity.loadOrCreate(disk, 9), new MachineIdentity(8, null));
        }
    }

    @Test
    public void anUnfinishedWriteIsIgnored() {
        final FaultyDisk disk = new FaultyDisk();
        final DiskFile file = disk.open(FILE + ".tmp");
        file.append(new byte[5], 0, 5);
        assertEquals(MachineIdentity.loadOrCreate(disk, 8), new MachineIdentity(8, null));
        assertEquals(MachineIdentity.loadOrCreate(disk, 9), new MachineIdentity(8, null));
    }

    private static final Membership MEMBERS = new Membership(3, List.of(new Member(11, 50, "a")), List.of());
    private static final NodeInfo STORAGE = new NodeInfo(11, "a", "x:1", "one", 77);

    @Test
    public void theMetadataStoresIdentities() {
        final ClusterMetadata metadata = new ClusterMetadata(
                5,
                List.of(STORAGE),
                List.of(new GroupInfo(0, true, MEMBERS)),
                List.of(11),
                List.of(new NodeInfo(1, "a", "y:1", "two", 88)),
                MEMBERS);
        assertEquals(ClusterMetadata.load(metadata.save()), metadata);
    }

    @Test
    public void metadataOfTheFirstFormatIsReadWithoutIdentities() {
        final PackedBuffer old = PackedBuffer.writer()
                .putLong(5)
                .putLong(1)
                .putLong(11)
                .putString("a")
                .putString("x:1")
                .putString("one");
        MEMBERS.buffer(old.putLong(1).putLong(0).putLong(1));
        old.putLong(1).putLong(11);
        old.putLong(1).putLong(1).putString("a").putString("y:1").putString("two");
        final ClusterMetadata read = ClusterMetadata.load(MEMBERS.buffer(old).toByteArray());
        assertEquals(read.version(), 5);
        assertEquals(read.nodes(), List.of(new NodeInfo(11, "a", "x:1", "one")));
        assertEquals(read.controllers(), List.of(new NodeInfo(1, "a", "y:1", "two")));
        assertEquals(read.retiring(), List.of(11));
        assertEquals(read.control(), MEMBERS);
    }

    @Test
    public void metadataOfANewerFormatIsRejected() {
        final byte[] newer =
                PackedBuffer.writer().putLong(-3).putLong(5).putLong(0).toByteArray();
        assertThrows(IllegalStateException.class, () -> ClusterMetadata.load(newer));
    }

    @Test
    public void machinesDifferOnlyIfBothIdentitiesAreKnown() {
        final NodeInfo other = new NodeInfo(11, "a", "x:1", "two", 78);
        assertTrue(other.replaces(STORAGE));
        assertTrue(STORAGE.replaces(other));
        assertFalse(STORAGE.replaces(STORAGE));
        assertFalse(other.replaces(STORAGE.withMachine(NodeInfo.UNKNOWN_MACHINE)));
        assertFalse(other.withMachine(NodeInfo.UNKNOWN_MACHINE).replaces(STORAGE));
        assertFalse(new NodeInfo(12, "a", "x:1", "two", 78).replaces(STORAGE));
        assertNull(MachineIdentity.loadOrCreate(new FaultyDisk(), 1).finding());
    }

    @Test
    public void aNamedMachineStaysTheSameWithANewDiskButAnUnnamedOneDoesNot() {
        assertFalse(STORAGE.withMachine(78).replaces(STORAGE), "the same name with an empty disk is the same machine");
        final NodeInfo unnamed = new NodeInfo(11, "a", "x:1", "", 77);
        assertTrue(unnamed.withMachine(78).replaces(unnamed), "without names the identity alone decides");
        assertFalse(unnamed.replaces(unnamed));
        assertTrue(unnamed.withMachine(78).replaces(STORAGE));
        assertFalse(unnamed.replaces(STORAGE), "the same identity is the same machine, whatever its name");
    }
}
