package brookpath.transport.identity;

import java.io.EOFException;
import java.io.FileInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.security.SecureRandom;

/**
 * Random numbers of cryptographic quality, of which each start needs a few. They are read directly from the kernel
 * where possible: {@link SecureRandom} reads the same source, but loading its security providers delays the start of a
 * process on a small machine too much.
 */
public final class RandomNumbers {
    private static final String KERNEL_SOURCE = "/dev/urandom";

    private RandomNumbers() {}

    /** Any 64-bit number except zero, which stands for "not known". */
    public static long identity() {
        long drawn = 0;
        while (drawn == 0) {
            drawn = draw();
        }
        return drawn;
    }

    /**
     * A random start for the counter of IDs of a process, so that the IDs of two incarnations do not collide. Not
     * negative and below 2^62, so that as many IDs again lie above it and the counter never overflows.
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
            // Not every operating system has the file.
            return new SecureRandom().nextLong();
        }
    }
}
