package brookpath.state.disk;

import java.util.List;

/**
 * The files of the data folder. Contents survive a power loss only after {@link DiskFile#sync()}, and file names only
 * after {@link #syncFolder()}.
 */
public interface Disk {
    /** Opens a file, creating it if it does not exist; throws {@link DiskFullException} if the disk is full. */
    DiskFile open(String name);

    /** Returns the names of all files, sorted. */
    List<String> list();

    /** Deletes a file if it exists. */
    void delete(String name);

    /** Renames a file atomically; the new name is durable only after {@link #syncFolder()}. */
    void rename(String from, String to);

    /** Makes the creation, renaming and deletion of files durable. */
    void syncFolder();
}
