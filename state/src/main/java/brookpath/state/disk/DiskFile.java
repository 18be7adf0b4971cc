package brookpath.state.disk;

/** An append-only file of the data folder. */
public interface DiskFile {
    long size();

    /** Throws {@link DiskFullException} where there is no room; part of the bytes may then be in the file. */
    void append(byte[] bytes, int off, int len);

    byte[] readAll();

    void sync();

    void truncate(long size);

    void close();
}
