package brookpath.state.record;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.zip.CRC32C;
import org.agrona.concurrent.UnsafeBuffer;

/**
 * Flyweight over one log record. The same bytes lie in memory, on disk and on the wire: lsn, term, stamp, kind, a
 * checksum of all of it, and for a publish seq, ReplSize, tenant, topic, sender, text.
 */
public final class LogRecord {
    /** Kind of the empty record that a new leader appends first in its term. */
    public static final int NO_OP = 1;
    /** Kind of a published message; the fields behind the header are those of {@link #publishBody}. */
    public static final int PUBLISH = 2;
    /** Kind of a change to the state of the control group. */
    public static final int CONTROL = 3;
    /** Closes a usage window of its group. */
    public static final int USAGE_WINDOW_CLOSE = 4;
    /** The members of its group from here on. */
    public static final int MEMBERS = 5;

    private static final int INDEX = 0;
    private static final int TERM = 8;
    private static final int STAMP = 16;
    private static final int KIND = 24;
    private static final int SUM = 28;
    private static final int BODY = 32;
    private static final int SEQ = BODY;
    private static final int REPL = BODY + 8;
    private static final int TENANT = BODY + 12;

    private final UnsafeBuffer buf;
    /** See {@link #learnedAt()}; never on disk or on the wire. */
    private final long learnedAt;

    private LogRecord(final byte[] bytes, final long learnedAt) {
        buf = new UnsafeBuffer(bytes);
        this.learnedAt = learnedAt;
    }

    /**
     * A record over bytes that are trusted to be one, which are neither checked nor copied.
     *
     * @param learnedAt as {@link #learnedAt()} returns it
     */
    public static LogRecord wrap(final byte[] bytes, final long learnedAt) {
        return new LogRecord(bytes, learnedAt);
    }

    /**
     * A record over bytes that come from outside.
     *
     * @throws IllegalArgumentException where they are not one complete record with a correct checksum
     */
    public static LogRecord checked(final byte[] bytes, final long learnedAt) {
        if (bytes.length < BODY) {
            throw new IllegalArgumentException("record of " + bytes.length + " bytes");
        }
        final LogRecord logRecord = new LogRecord(bytes, learnedAt);
        if (!logRecord.isIntact()) {
            throw new IllegalArgumentException("record " + logRecord.index() + " does not fit its checksum");
        }
        if (logRecord.kind() == PUBLISH) {
            int pos = TENANT;
            for (int i = 0; i < 4; i++) {
                final int len = pos + 4 <= bytes.length ? logRecord.buf.getInt(pos) : -1;
                if (len < 0 || len > bytes.length - pos - 4) {
                    throw new IllegalArgumentException("publish record with a field of " + len + " bytes at " + pos);
                }
                pos += 4 + len;
            }
        }
        return logRecord;
    }

    /**
     * Encodes a new record, with its checksum.
     *
     * @param stamp wall time in milliseconds
     * @param kind such as {@link #PUBLISH}
     * @param learnedAt as {@link #learnedAt()} returns it
     */
    public static LogRecord of(
            final long index,
            final long term,
            final long stamp,
            final int kind,
            final byte[] body,
            final long learnedAt) {
        final LogRecord logRecord = new LogRecord(new byte[BODY + body.length], learnedAt);
        logRecord.buf.putLong(INDEX, index);
        logRecord.buf.putLong(TERM, term);
        logRecord.buf.putLong(STAMP, stamp);
        logRecord.buf.putInt(KIND, kind);
        logRecord.buf.putBytes(BODY, body);
        logRecord.buf.putInt(SUM, logRecord.sum());
        return logRecord;
    }

    private int sum() {
        final CRC32C crc = new CRC32C();
        crc.update(buf.byteArray(), 0, SUM);
        crc.update(buf.byteArray(), BODY, buf.capacity() - BODY);
        return (int) crc.getValue();
    }

    /** Whether the bytes still match the checksum that the leader computed. */
    public boolean isIntact() {
        return buf.getInt(SUM) == sum();
    }

    /** The checksum that the leader computed, as stored in the record. */
    public int storedChecksum() {
        return buf.getInt(SUM);
    }

    /**
     * The body of a {@link #PUBLISH} record; texts are encoded as UTF-8.
     *
     * @param seq the sender's sequence number of the message
     * @param repl how many replicas must have synced the record before the publish is acknowledged
     */
    public static byte[] publishBody(
            final long seq,
            final int repl,
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
        buf.putInt(8, repl);
        int pos = 12;
        for (final byte[] part : parts) {
            buf.putInt(pos, part.length);
            buf.putBytes(pos + 4, part);
            pos += 4 + part.length;
        }
        return buf.byteArray();
    }

    /** The position in the log of its group. */
    public long index() {
        return buf.getLong(INDEX);
    }

    /** The term of the leader that appended the record. */
    public long term() {
        return buf.getLong(TERM);
    }

    /** Wall time in milliseconds, assigned by the leader; never smaller than that of the record before. */
    public long timestamp() {
        return buf.getLong(STAMP);
    }

    /** What the record is, such as {@link #PUBLISH}. */
    public int kind() {
        return buf.getInt(KIND);
    }

    /** When this replica appended, received or replayed the record, in milliseconds of its own monotonic clock. */
    public long learnedAt() {
        return learnedAt;
    }

    /** The complete encoded record: the array itself, not a copy, so it must not be modified. */
    public byte[] bytes() {
        return buf.byteArray();
    }

    /** A copy of the bytes behind the header. */
    public byte[] body() {
        final byte[] v = new byte[buf.capacity() - BODY];
        buf.getBytes(BODY, v);
        return v;
    }

    /** The sender's sequence number of the message; only for a {@link #PUBLISH} record, as the accessors below. */
    public long seq() {
        return buf.getLong(SEQ);
    }

    /** How many replicas must have synced the record before the publish is acknowledged. */
    public int requiredReplicas() {
        return buf.getInt(REPL);
    }

    /** The tenant that the message counts for. */
    public String tenant() {
        return str(TENANT);
    }

    /** The topic of the message, with its space. */
    public String topic() {
        return str(skip(TENANT));
    }

    /** The name of the sender, which {@link #seq()} belongs to. */
    public String sender() {
        return str(skip(skip(TENANT)));
    }

    /** The text of the message. */
    public String text() {
        return str(skip(skip(skip(TENANT))));
    }

    private int skip(final int pos) {
        return pos + 4 + buf.getInt(pos);
    }

    private String str(final int pos) {
        final byte[] v = new byte[buf.getInt(pos)];
        buf.getBytes(pos + 4, v);
        return new String(v, UTF_8);
    }
}
