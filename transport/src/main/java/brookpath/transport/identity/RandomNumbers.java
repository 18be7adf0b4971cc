package brookpath.transport.identity;

import java.io.EOFException;
import java.io.FileInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.security.SecureRandom;

/**
 * Random numbers of cryptographic quality, a few at each start. Read from the kernel where it offers them: the security
 * providers behind {@link SecureRandom}, which read the same source, take longer to load than a process on a small
 * machine can spare.
 */
public final class RandomNumbers {
    private static final String KERNEL_SOURCE = "/dev/urandom";

    private RandomNumbers() {}

    /** Any 64-bit number but zero, which stands for "not known". */
    public static long identity() {
        long drawn = 0;
        while (drawn == 0) {
            drawn = draw();
        }
        return drawn;
    }

    /**
     * Where a process's counter of IDs begins: the IDs of two incarnations do not meet. Positive, and with as much room
     * above it as it was drawn from, so that the IDs never wrap around.
     */
    public static long firstId() {
        return draw() >>> 2;
    }

    private static long draw() {
        try (InputStream in = new FileInputStream(KERNEL_SOURCE)) {
            final byte[] bytes = in.readNBytes(Long.BYTES);
            if (bytes.length < Long.BYTES) {
                throw new EOFException(KERNEL_SOURCE);
            }
            return ByteBuffer.wrap(bytes).getLong();
        } catch (final IOException ex) {
            // why: not every system has the file
            return new SecureRandom().nextLong();
        }
    }
}
