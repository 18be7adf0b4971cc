package brookpath.state.disk;

import java.util.List;

/** The one data folder. A name or a byte counts only once it has been synced. */
public interface Disk {
    DiskFile open(String name);

    List<String> list();

    void delete(String name);

    /** Takes effect atomically; durable after {@link #syncFolder()}. */
    void rename(String from, String to);

    void syncFolder();
}
