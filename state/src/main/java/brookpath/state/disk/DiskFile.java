package brookpath.state.disk;

/** An append-only file of the data folder. */
public interface DiskFile {
    /** Returns the length of the file in bytes, including those not yet synced. */
    long size();

    /** Appends bytes; throws {@link DiskFullException} if the disk is full, possibly after writing some of them. */
    void append(byte[] bytes, int off, int len);

    /** Returns the complete contents of the file, including bytes not yet synced. */
    byte[] readAll();

    /** Makes the contents of the file durable. */
    void sync();

    /** Truncates the file to this many bytes; durable only after {@link #sync()}. */
    void truncate(long size);

    /** Closes the file without syncing it: appended bytes that were not synced may be lost. */
    void close();
}
