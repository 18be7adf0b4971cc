package brookpath.state.disk;

/** An append-only file of the data folder. */
public interface DiskFile {
    /** Bytes in the file, synced or not. */
    long size();

    /** Throws {@link DiskFullException} where there is no room; part of the bytes may then be in the file. */
    void append(byte[] bytes, int off, int len);

    /** All bytes of the file, synced or not, from the first on. */
    byte[] readAll();

    /** Makes the bytes of the file durable. */
    void sync();

    /** Shortens the file to this many bytes; the next append begins there. Durable only after {@link #sync()}. */
    void truncate(long size);

    /** Closes the file without syncing it: appended bytes that were not synced may be lost. */
    void close();
}
