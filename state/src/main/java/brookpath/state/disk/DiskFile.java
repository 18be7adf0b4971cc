package brookpath.state.disk;

/** An append-only file of the data folder. */
public interface DiskFile {
    /** Returns the length of the file in bytes, including those not yet synced. */
    long size();

    /** Appends bytes; throws {@link DiskFullException} if the disk is full, possibly after writing some of them. */
    void append(byte[] bytes, int off, int len);

    /**
     * Reads bytes from a position of the file, including bytes not yet synced, until the range of the target is full or
     * the file ends. Returns how many bytes were read, 0 at the end of the file.
     */
    int read(long position, byte[] target, int off, int len);

    /** Returns the complete contents of a small file, including bytes not yet synced. */
    default byte[] readAll() {
        final byte[] bytes = new byte[Math.toIntExact(size())];
        read(0, bytes, 0, bytes.length);
        return bytes;
    }

    /** Makes the contents of the file durable. */
    void sync();

    /** Truncates the file to this many bytes; durable only after {@link #sync()}. */
    void truncate(long size);

    /** Closes the file without syncing it: appended bytes that were not synced may be lost. */
    void close();
}
