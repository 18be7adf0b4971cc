package brookpath.state.wal;

import brookpath.state.disk.Disk;
import java.util.List;
import java.util.TreeSet;

/**
 * The files of damaged logs that were set aside instead of deleted. They are dropped when the disk is full, and all but
 * those of the newest {@link #KEPT_LOGS} logs when another log is set aside.
 */
final class SetAsideFiles {
    /** A crash while a log is set aside leaves its files under two times. */
    static final int KEPT_LOGS = 2;

    private SetAsideFiles() {}

    static void deleteAllButNewest(final Disk disk) {
        final List<String> names = names(disk);
        final TreeSet<Long> times = new TreeSet<>();
        names.forEach(name -> times.add(Long.valueOf(LogFiles.timeSetAside(name))));
        while (times.size() > KEPT_LOGS) {
            final String oldest = String.valueOf(times.pollFirst());
            names.stream()
                    .filter(name -> LogFiles.timeSetAside(name).equals(oldest))
                    .forEach(disk::delete);
        }
    }

    /** Deletes all of them; false if there are none. */
    static boolean deleteAll(final Disk disk) {
        final List<String> names = names(disk);
        names.forEach(disk::delete);
        return !names.isEmpty();
    }

    private static List<String> names(final Disk disk) {
        return disk.list().stream().filter(LogFiles::isSetAside).toList();
    }
}
