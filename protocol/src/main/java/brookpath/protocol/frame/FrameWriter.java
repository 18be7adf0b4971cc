package brookpath.protocol.frame;

import static java.nio.charset.StandardCharsets.UTF_8;

import brookpath.protocol.sbe.MessageHeaderEncoder;
import org.agrona.ExpandableArrayBuffer;
import org.agrona.MutableDirectBuffer;

/** The reusable buffer that a frame is encoded into. Not thread-safe. */
final class FrameWriter {
    private static final int INITIAL_CAPACITY_BYTES = 1024;
    private static final int MAX_RETAINED_CAPACITY_BYTES = 1 << 20;

    private final MessageHeaderEncoder header = new MessageHeaderEncoder();
    private ExpandableArrayBuffer buffer = new ExpandableArrayBuffer(INITIAL_CAPACITY_BYTES);

    /** The buffer that the frame is encoded into, from offset 0. */
    MutableDirectBuffer buffer() {
        return buffer;
    }

    /** The flyweight for the header of the frame. */
    MessageHeaderEncoder header() {
        return header;
    }

    /**
     * Copies the encoded frame out of the buffer.
     *
     * @param bodyLength the number of bytes after the header
     */
    byte[] copyFrame(final int bodyLength) {
        final byte[] frame = new byte[MessageHeaderEncoder.ENCODED_LENGTH + bodyLength];
        buffer.getBytes(0, frame);
        if (buffer.capacity() > MAX_RETAINED_CAPACITY_BYTES) {
            // A buffer that grew for a full sync is replaced, so that its memory does not stay allocated.
            buffer = new ExpandableArrayBuffer(INITIAL_CAPACITY_BYTES);
        }
        return frame;
    }

    static byte[] utf8(final String text) {
        return text.getBytes(UTF_8);
    }

    static short flag(final boolean set) {
        return (short) (set ? 1 : 0);
    }
}
