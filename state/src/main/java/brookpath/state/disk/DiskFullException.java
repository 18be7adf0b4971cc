package brookpath.state.disk;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;

/**
 * A write that failed for lack of space. Nothing that was synced is touched by it, and the same write may succeed once
 * there is room again; a failed sync is never reported as this.
 */
public final class DiskFullException extends UncheckedIOException {
    private static final long serialVersionUID = 1L;

    /** How operating systems word ENOSPC and EDQUOT; Java passes on no error number. */
    private static final List<String> WORDINGS = List.of("no space left", "disk quota exceeded", "not enough space");

    /** @param cause the failed write as the operating system reported it */
    public DiskFullException(final IOException cause) {
        super(cause);
    }

    /** The exception to throw for a failed write: this one where the disk is full, else one that ends the process. */
    public static UncheckedIOException ofWrite(final IOException cause) {
        final String message = String.valueOf(cause.getMessage()).toLowerCase(java.util.Locale.ROOT);
        return WORDINGS.stream().anyMatch(message::contains)
                ? new DiskFullException(cause)
                : new UncheckedIOException(cause);
    }
}
