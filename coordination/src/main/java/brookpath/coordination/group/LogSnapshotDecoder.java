package brookpath.coordination.group;

import static java.nio.ByteOrder.nativeOrder;

import brookpath.state.record.LogRecord;
import brookpath.state.record.PackedBuffer;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * Decodes what {@link LogSnapshot#encode} wrote from parts that are cut anywhere, so that the receiver of a full sync
 * holds the records but not the encoded snapshot. Not thread-safe.
 */
final class LogSnapshotDecoder {
    /** Thrown if the bytes are no encoded snapshot. */
    static final class MalformedSnapshotException extends Exception {
        private static final long serialVersionUID = 1L;

        MalformedSnapshotException(final String message) {
            super(message);
        }
    }

    /** The field that is decoded next. */
    private enum Field {
        BASE_INDEX(false),
        BASE_TERM(false),
        BASE_DIGEST(false),
        BASE_STATE(true),
        RECORD_COUNT(false),
        RECORD(true),
        MEMBERSHIP(true);

        /** Whether it is a byte string, which follows its length; else a 64-bit integer. */
        final boolean isBytes;

        Field(final boolean isBytes) {
            this.isBytes = isBytes;
        }
    }

    private final long totalBytes;
    private final long now;
    private final ByteBuffer number = ByteBuffer.allocate(Long.BYTES).order(nativeOrder());
    private Field field = Field.BASE_INDEX;
    /** The byte string that is being read, null while its length is. */
    private byte[] bytes;

    private int filled;
    private long decodedBytes;

    private long baseIndex;
    private long baseTerm;
    private long baseDigest;
    private byte[] baseState;
    private long missingRecords;
    private final List<LogRecord> records = new ArrayList<>();
    /** Null for none; decoded only once the caller has compared the checksum. */
    private byte[] membership;

    /**
     * @param totalBytes the size of the encoded snapshot
     * @param now when its records are learned, in milliseconds of the steady clock
     */
    LogSnapshotDecoder(final long totalBytes, final long now) {
        this.totalBytes = totalBytes;
        this.now = now;
    }

    /** How many bytes were decoded. */
    long decodedBytes() {
        return decodedBytes;
    }

    /** Decodes the bytes that follow those of the last call. */
    void decode(final byte[] part) throws MalformedSnapshotException {
        if (part.length > totalBytes - decodedBytes) {
            throw new MalformedSnapshotException("more than " + totalBytes + " bytes");
        }
        int position = 0;
        while (position < part.length) {
            final int count = bytes == null ? fillNumber(part, position) : fillBytes(part, position);
            position += count;
            decodedBytes += count;
            completeField();
        }
    }

    private int fillNumber(final byte[] part, final int position) {
        number.limit(field.isBytes ? Integer.BYTES : Long.BYTES);
        final int count = Math.min(number.remaining(), part.length - position);
        number.put(part, position, count);
        return count;
    }

    private int fillBytes(final byte[] part, final int position) {
        final int count = Math.min(bytes.length - filled, part.length - position);
        System.arraycopy(part, position, bytes, filled, count);
        filled += count;
        return count;
    }

    /** Takes the field if all of it was read. */
    private void completeField() throws MalformedSnapshotException {
        if (bytes == null && !number.hasRemaining()) {
            number.flip();
            if (field.isBytes) {
                beginBytes(number.getInt());
            } else {
                takeNumber(number.getLong());
            }
            number.clear();
        }
        if (bytes != null && filled == bytes.length) {
            takeBytes();
            bytes = null;
        }
    }

    private void beginBytes(final int length) throws MalformedSnapshotException {
        if (length < 0 || length > totalBytes - decodedBytes) {
            throw new MalformedSnapshotException("field of " + length + " bytes at byte " + decodedBytes);
        }
        bytes = new byte[length];
        filled = 0;
    }

    private void takeNumber(final long value) {
        switch (field) {
            case BASE_INDEX -> {
                baseIndex = value;
                field = Field.BASE_TERM;
            }
            case BASE_TERM -> {
                baseTerm = value;
                field = Field.BASE_DIGEST;
            }
            case BASE_DIGEST -> {
                baseDigest = value;
                field = Field.BASE_STATE;
            }
            default -> {
                missingRecords = value;
                field = value > 0 ? Field.RECORD : Field.MEMBERSHIP;
            }
        }
    }

    private void takeBytes() {
        switch (field) {
            case BASE_STATE -> {
                baseState = bytes;
                field = Field.RECORD_COUNT;
            }
            case RECORD -> {
                records.add(LogRecord.wrap(bytes, now));
                missingRecords--;
                field = missingRecords > 0 ? Field.RECORD : Field.MEMBERSHIP;
            }
            default -> membership = bytes;
        }
    }

    /** The snapshot, once all of its bytes were decoded and their checksum is the expected one. */
    LogSnapshot snapshot() throws MalformedSnapshotException {
        final boolean complete = field == Field.MEMBERSHIP && bytes == null && number.position() == 0;
        if (!complete || decodedBytes != totalBytes) {
            throw new MalformedSnapshotException("the snapshot ends within a field");
        }
        final Membership decoded = membership == null ? null : Membership.load(PackedBuffer.reader(membership));
        return new LogSnapshot(baseIndex, baseTerm, baseDigest, baseState, records, decoded);
    }
}
