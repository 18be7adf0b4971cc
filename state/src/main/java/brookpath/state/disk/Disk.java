package brookpath.state.disk;

import java.util.List;

/** The data folder. A name or a byte survives a loss of power only once it has been synced. */
public interface Disk {
    /** Opens a file, and creates it empty where there is none; throws {@link DiskFullException} without room for it. */
    DiskFile open(String name);

    /** The names of all files, sorted. */
    List<String> list();

    /** Deletes a file where there is one. */
    void delete(String name);

    /** Takes effect atomically; durable after {@link #syncFolder()}. */
    void rename(String from, String to);

    /** Makes names that were created, renamed or deleted durable. */
    void syncFolder();
}
