package brookpath.platform;

import brookpath.state.record.PackedBuffer;

/** Writes to a buffer of the state in a new process; fails where the runtime must open a package for that. */
final class BufferProbe {
    private BufferProbe() {}

    /** Takes no arguments. */
    public static void main(final String[] args) {
        System.out.println(PackedBuffer.writer().putLong(1).toByteArray().length);
    }
}
