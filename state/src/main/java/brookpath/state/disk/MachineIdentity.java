package brookpath.state.disk;

import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/**
 * The number that distinguishes a machine from another one at the same address. It is drawn at the machine's first
 * start, and kept in the data folder from before anything else is written there. A folder whose identity cannot be read
 * counts as that of a new machine: the entries of its log are verified by checksums of their own, and a state that
 * others keep for the old identity (that it is being retired) is safer dropped than inherited.
 *
 * @param number never zero
 * @param finding why the stored identity was discarded; null where it was read, or there was none
 */
public record MachineIdentity(long number, String finding) {
    private static final String FILE = "machine-id";
    private static final String UNFINISHED = FILE + ".tmp";
    private static final long MAGIC = 0x62726f6f6b696431L;
    private static final int BYTES = 3 * Long.BYTES;

    /**
     * The identity that the folder keeps; where it keeps none, the drawn one, which is synced before this returns.
     *
     * @param drawn a random number, not zero
     */
    public static MachineIdentity loadOrCreate(final Disk disk, final long drawn) {
        final boolean kept = disk.list().contains(FILE);
        final long number = kept ? read(disk) : 0;
        if (number != 0) {
            return new MachineIdentity(number, null);
        }
        write(disk, drawn);
        return new MachineIdentity(drawn, kept ? FILE + ": unreadable, so this counts as a new machine" : null);
    }

    private static long read(final Disk disk) {
        final DiskFile file = disk.open(FILE);
        final byte[] bytes;
        try {
            bytes = file.readAll();
        } finally {
            file.close();
        }
        if (bytes.length != BYTES) {
            return 0;
        }
        final ByteBuffer buf = ByteBuffer.wrap(bytes);
        final boolean whole = buf.getLong() == MAGIC && checksum(bytes) == buf.getLong(2 * Long.BYTES);
        return whole ? buf.getLong(Long.BYTES) : 0;
    }

    private static void write(final Disk disk, final long number) {
        final byte[] bytes = new byte[BYTES];
        ByteBuffer.wrap(bytes).putLong(MAGIC).putLong(number);
        ByteBuffer.wrap(bytes).putLong(2 * Long.BYTES, checksum(bytes));
        disk.delete(UNFINISHED);
        final DiskFile file = disk.open(UNFINISHED);
        try {
            file.append(bytes, 0, bytes.length);
            file.sync();
        } finally {
            file.close();
        }
        disk.rename(UNFINISHED, FILE);
        disk.syncFolder();
    }

    private static long checksum(final byte[] bytes) {
        final CRC32C crc = new CRC32C();
        crc.update(bytes, 0, 2 * Long.BYTES);
        return crc.getValue();
    }
}
