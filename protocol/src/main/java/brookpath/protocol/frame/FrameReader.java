package brookpath.protocol.frame;

import static java.nio.charset.StandardCharsets.UTF_8;

import brookpath.protocol.sbe.MessageHeaderDecoder;
import brookpath.state.record.LogRecord;
import org.agrona.DirectBuffer;
import org.agrona.concurrent.UnsafeBuffer;

/** A reusable view of the frame that is being decoded. Not thread-safe. */
final class FrameReader {
    /** The signature of the accessors that SBE generates for variable-length fields. */
    interface VariableField {
        int copyTo(byte[] target, int offset, int length);
    }

    private static final short FLAG_SET = 1;

    private final MessageHeaderDecoder header = new MessageHeaderDecoder();
    private final UnsafeBuffer buffer = new UnsafeBuffer(0, 0);

    /** Sets the frame to read; throws {@link MalformedFrameException} if it has another schema or version. */
    void wrap(final byte[] bytes, final int offset, final int length) {
        buffer.wrap(bytes, offset, length);
        header.wrap(buffer, 0);
        if (header.schemaId() != MessageHeaderDecoder.SCHEMA_ID
                || header.version() != MessageHeaderDecoder.SCHEMA_VERSION) {
            throw new MalformedFrameException(
                    "unknown schema id/version " + header.schemaId() + "/" + header.version());
        }
    }

    DirectBuffer buffer() {
        return buffer;
    }

    MessageHeaderDecoder header() {
        return header;
    }

    byte[] readBytes(final int length, final VariableField field) {
        // The length is untrusted input, and must not cause an allocation larger than the frame.
        if (length < 0 || length > buffer.capacity()) {
            throw new MalformedFrameException("field of " + length + " bytes in a frame of " + buffer.capacity());
        }
        final byte[] bytes = new byte[length];
        field.copyTo(bytes, 0, length);
        return bytes;
    }

    String readString(final int length, final VariableField field) {
        return new String(readBytes(length, field), UTF_8);
    }

    LogRecord readRecord(final int length, final VariableField field) {
        return LogRecord.checked(readBytes(length, field), 0);
    }

    static boolean isSet(final short flag) {
        return flag == FLAG_SET;
    }
}
