package brookpath.state.disk;

/** An append-only file of the data folder. */
public interface DiskFile {
    /** Bytes in the file, synced or not. */
    long size();

    /** Throws {@link DiskFullException} where there is no room; part of the bytes may then be in the file. */
    void append(byte[] bytes, int off, int len);

    byte[] readAll();

    /** Makes the bytes of the file durable. */
    void sync();

    /** Cuts the file to so many bytes; the next append goes there. */
    void truncate(long size);

    void close();
}
