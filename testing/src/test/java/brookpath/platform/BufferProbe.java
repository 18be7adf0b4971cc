package brookpath.platform;

import brookpath.state.record.PackedBuffer;

/** A program that writes to a state buffer; it fails if that needs a JDK package to be opened to the library. */
final class BufferProbe {
    private BufferProbe() {}

    /** Prints the size of the buffer. */
    public static void main(final String[] args) {
        System.out.println(PackedBuffer.writer().putLong(1).toByteArray().length);
    }
}
