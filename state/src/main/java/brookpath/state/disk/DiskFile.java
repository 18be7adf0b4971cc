package brookpath.state.disk;

/** An append-only file of the data folder. */
public interface DiskFile {
    long size();

    void append(byte[] bytes, int off, int len);

    byte[] readAll();

    void sync();

    void truncate(long size);

    void close();
}
