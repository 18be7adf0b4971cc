package brookpath.state.record;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.zip.CRC32C;
import org.agrona.concurrent.UnsafeBuffer;

/**
 * A flyweight over the encoded bytes of one log record, which are the same in memory, on disk and on the wire. The
 * header holds index, term, timestamp, kind and a checksum of the whole record; the body depends on the kind.
 */
public final class LogRecord {
    /** Kind of the empty record that a new leader appends at the start of its term. */
    public static final int NO_OP = 1;
    /** Kind of a published message; its body is that of {@link #publishBody}. */
    public static final int PUBLISH = 2;
    /** Kind of a change to the state of the control group. */
    public static final int CONTROL = 3;
    /** Kind of the record that closes a usage window of its group. */
    public static final int USAGE_WINDOW_CLOSE = 4;
    /** Kind of a membership record: the members that its group has from this record on. */
    public static final int MEMBERS = 5;

    private static final int INDEX = 0;
    private static final int TERM = 8;
    private static final int TIMESTAMP = 16;
    private static final int KIND = 24;
    private static final int CHECKSUM = 28;
    private static final int BODY = 32;
    private static final int SEQ = BODY;
    private static final int REQUIRED_REPLICAS = BODY + 8;
    private static final int TENANT = BODY + 12;

    private final UnsafeBuffer buf;
    /** See {@link #learnedAt()}; not part of the encoded record. */
    private final long learnedAt;

    private LogRecord(final byte[] bytes, final long learnedAt) {
        buf = new UnsafeBuffer(bytes);
        this.learnedAt = learnedAt;
    }

    /**
     * Wraps the bytes of a record from a trusted source, without verifying or copying them.
     *
     * @param learnedAt see {@link #learnedAt()}
     */
    public static LogRecord wrap(final byte[] bytes, final long learnedAt) {
        return new LogRecord(bytes, learnedAt);
    }

    /**
     * Wraps the bytes of a record from another process, without copying them, after verifying them.
     *
     * @throws IllegalArgumentException if they are not one complete record with a correct checksum
     */
    public static LogRecord checked(final byte[] bytes, final long learnedAt) {
        if (bytes.length < BODY) {
            throw new IllegalArgumentException("record of only " + bytes.length + " bytes");
        }
        final LogRecord logRecord = new LogRecord(bytes, learnedAt);
        if (!logRecord.isIntact()) {
            throw new IllegalArgumentException("record " + logRecord.index() + " does not match its checksum");
        }
        if (logRecord.kind() == PUBLISH) {
            int pos = TENANT;
            for (int i = 0; i < 4; i++) {
                final int len = pos + 4 <= bytes.length ? logRecord.buf.getInt(pos) : -1;
                if (len < 0 || len > bytes.length - pos - 4) {
                    throw new IllegalArgumentException(
                            "publish record with a field of " + len + " bytes at offset " + pos);
                }
                pos += 4 + len;
            }
        }
        return logRecord;
    }

    /**
     * Encodes a new record and computes its checksum.
     *
     * @param timestamp see {@link #timestamp()}
     * @param kind one of the constants of this class, such as {@link #PUBLISH}
     * @param learnedAt see {@link #learnedAt()}
     */
    public static LogRecord of(
            final long index,
            final long term,
            final long timestamp,
            final int kind,
            final byte[] body,
            final long learnedAt) {
        final LogRecord logRecord = new LogRecord(new byte[BODY + body.length], learnedAt);
        logRecord.buf.putLong(INDEX, index);
        logRecord.buf.putLong(TERM, term);
        logRecord.buf.putLong(TIMESTAMP, timestamp);
        logRecord.buf.putInt(KIND, kind);
        logRecord.buf.putBytes(BODY, body);
        logRecord.buf.putInt(CHECKSUM, logRecord.checksum());
        return logRecord;
    }

    private int checksum() {
        final CRC32C crc = new CRC32C();
        crc.update(buf.byteArray(), 0, CHECKSUM);
        crc.update(buf.byteArray(), BODY, buf.capacity() - BODY);
        return (int) crc.getValue();
    }

    /** Whether the bytes match the checksum that the leader computed. */
    public boolean isIntact() {
        return buf.getInt(CHECKSUM) == checksum();
    }

    /** The checksum that the leader computed and stored in the record. */
    public int storedChecksum() {
        return buf.getInt(CHECKSUM);
    }

    /**
     * Encodes the body of a {@link #PUBLISH} record: the fields in the order of the parameters, strings in UTF-8.
     *
     * @param seq the sender's sequence number of the message
     * @param requiredReplicas how many replicas must have synced the record before the publish is acknowledged
     */
    public static byte[] publishBody(
            final long seq,
            final int requiredReplicas,
            final String tenant,
            final String topic,
            final String sender,
            final String text) {
        final byte[][] parts = {
            tenant.getBytes(UTF_8), topic.getBytes(UTF_8), sender.getBytes(UTF_8), text.getBytes(UTF_8)
        };
        int len = 12;
        for (final byte[] part : parts) {
            len += 4 + part.length;
        }
        final UnsafeBuffer buf = new UnsafeBuffer(new byte[len]);
        buf.putLong(0, seq);
        buf.putInt(8, requiredReplicas);
        int pos = 12;
        for (final byte[] part : parts) {
            buf.putInt(pos, part.length);
            buf.putBytes(pos + 4, part);
            pos += 4 + part.length;
        }
        return buf.byteArray();
    }

    /** The position of the record in the log of its group. */
    public long index() {
        return buf.getLong(INDEX);
    }

    /** The term of the leader that appended the record. */
    public long term() {
        return buf.getLong(TERM);
    }

    /** The leader's wall-clock time in milliseconds; never smaller than that of the preceding record. */
    public long timestamp() {
        return buf.getLong(TIMESTAMP);
    }

    /** The kind of the record, such as {@link #PUBLISH}. */
    public int kind() {
        return buf.getInt(KIND);
    }

    /** When this replica appended, received or replayed the record, in milliseconds of its monotonic clock. */
    public long learnedAt() {
        return learnedAt;
    }

    /** The same record, learned at another time; shares the encoded bytes. */
    public LogRecord learnedAt(final long otherLearnedAt) {
        return new LogRecord(bytes(), otherLearnedAt);
    }

    /** The encoded record: the array itself, not a copy, so it must not be modified. */
    public byte[] bytes() {
        return buf.byteArray();
    }

    /** A copy of the bytes after the header. */
    public byte[] body() {
        final byte[] v = new byte[buf.capacity() - BODY];
        buf.getBytes(BODY, v);
        return v;
    }

    /** The sender's sequence number of the message; only for a {@link #PUBLISH} record, like the accessors below. */
    public long seq() {
        return buf.getLong(SEQ);
    }

    /** How many replicas must have synced the record before the publish is acknowledged. */
    public int requiredReplicas() {
        return buf.getInt(REQUIRED_REPLICAS);
    }

    /** The tenant that the message is accounted to. */
    public String tenant() {
        return readString(TENANT);
    }

    /** The topic of the message, including its space. */
    public String topic() {
        return readString(endOfField(TENANT));
    }

    /** The name of the sender, who numbers messages with {@link #seq()}. */
    public String sender() {
        return readString(endOfField(endOfField(TENANT)));
    }

    /** The text of the message. */
    public String text() {
        return readString(endOfField(endOfField(endOfField(TENANT))));
    }

    private int endOfField(final int pos) {
        return pos + 4 + buf.getInt(pos);
    }

    private String readString(final int pos) {
        final byte[] v = new byte[buf.getInt(pos)];
        buf.getBytes(pos + 4, v);
        return new String(v, UTF_8);
    }
}
