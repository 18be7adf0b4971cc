package brookpath.state.disk;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;

/**
 * Thrown if a write failed because the disk is full. Synced data is unaffected, and the write may be retried once there
 * is space again. A failed sync is never reported as this exception.
 */
public final class DiskFullException extends UncheckedIOException {
    private static final long serialVersionUID = 1L;

    /** The messages of ENOSPC and EDQUOT on the supported systems; Java does not expose the error number. */
    private static final List<String> DISK_FULL_MESSAGES =
            List.of("no space left", "disk quota exceeded", "not enough space");

    /** @param cause the error that the operating system reported for the write */
    public DiskFullException(final IOException cause) {
        super(cause);
    }

    /**
     * Returns the exception to throw for a failed write: a {@link DiskFullException} if the disk is full, otherwise a
     * plain {@link UncheckedIOException}, which ends the process.
     */
    public static UncheckedIOException ofWrite(final IOException cause) {
        final String message = String.valueOf(cause.getMessage()).toLowerCase(java.util.Locale.ROOT);
        return DISK_FULL_MESSAGES.stream().anyMatch(message::contains)
                ? new DiskFullException(cause)
                : new UncheckedIOException(cause);
    }
}
