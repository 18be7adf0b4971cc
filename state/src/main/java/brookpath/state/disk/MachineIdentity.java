package brookpath.state.disk;

import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/**
 * The random number that distinguishes a machine from another one at the same address. It is generated at the machine's
 * first start and stored in the data folder before anything else is. A folder whose identity cannot be read counts as
 * that of a new machine. This is safe: the entries of its log have their own checksums, and a state that other nodes
 * keep for the old identity, such as a retirement in progress, is better dropped than inherited.
 *
 * @param number never zero
 * @param finding why the stored identity was discarded; null if it was read, or if none was stored
 */
public record MachineIdentity(long number, String finding) {
    private static final String FILE = "machine-id";
    private static final String TEMPORARY_FILE = FILE + ".tmp";
    private static final long MAGIC = 0x62726f6f6b696431L;
    private static final int ENCODED_BYTES = 3 * Long.BYTES;

    /**
     * Returns the identity that the folder holds. If it holds none, stores the given one and syncs it before returning.
     *
     * @param newNumber a random number, not zero
     */
    public static MachineIdentity loadOrCreate(final Disk disk, final long newNumber) {
        final boolean stored = disk.list().contains(FILE);
        final long number = stored ? read(disk) : 0;
        if (number != 0) {
            return new MachineIdentity(number, null);
        }
        write(disk, newNumber);
        return new MachineIdentity(
                newNumber, stored ? FILE + ": unreadable, so this machine counts as a new one" : null);
    }

    private static long read(final Disk disk) {
        final DiskFile file = disk.open(FILE);
        final byte[] bytes;
        try {
            bytes = file.readAll();
        } finally {
            file.close();
        }
        if (bytes.length != ENCODED_BYTES) {
            return 0;
        }
        final ByteBuffer buf = ByteBuffer.wrap(bytes);
        final boolean intact = buf.getLong() == MAGIC && checksum(bytes) == buf.getLong(2 * Long.BYTES);
        return intact ? buf.getLong(Long.BYTES) : 0;
    }

    private static void write(final Disk disk, final long number) {
        final byte[] bytes = new byte[ENCODED_BYTES];
        ByteBuffer.wrap(bytes).putLong(MAGIC).putLong(number);
        ByteBuffer.wrap(bytes).putLong(2 * Long.BYTES, checksum(bytes));
        disk.delete(TEMPORARY_FILE);
        final DiskFile file = disk.open(TEMPORARY_FILE);
        try {
            file.append(bytes, 0, bytes.length);
            file.sync();
        } finally {
            file.close();
        }
        disk.rename(TEMPORARY_FILE, FILE);
        disk.syncFolder();
    }

    private static long checksum(final byte[] bytes) {
        final CRC32C crc = new CRC32C();
        crc.update(bytes, 0, 2 * Long.BYTES);
        return crc.getValue();
    }
}
