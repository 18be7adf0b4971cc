package brookpath.programs.boot;

import brookpath.state.disk.DiskFullException;
import brookpath.state.disk.FolderDisk;
import brookpath.state.disk.MachineIdentity;
import brookpath.state.wal.WriteAheadLog;
import brookpath.transport.identity.RandomNumbers;
import java.nio.file.Path;
import java.util.List;
import java.util.function.Supplier;
import org.tinylog.Logger;

/**
 * What a starting process finds in its data folder.
 *
 * @param machineIdentity of the machine that this runs on
 * @param log the write-ahead log, ready to append; null on a machine without a disk
 * @param entries the log's entries, oldest first, to be replayed
 */
record DataFolder(long machineIdentity, WriteAheadLog log, List<byte[]> entries) {
    /** Opens the plan's data folder and recovers its log. What was found damaged is logged as an error. */
    static DataFolder open(final ProcessPlan plan) {
        if (!plan.hasDataFolder()) {
            return new DataFolder(RandomNumbers.identity(), null, List.of());
        }
        final FolderDisk disk = new FolderDisk(Path.of(plan.dataFolder()));
        final long retryPauseMs = plan.timing().diskRetryDelay();
        final MachineIdentity identity =
                retryWhileDiskIsFull(retryPauseMs, () -> MachineIdentity.loadOrCreate(disk, RandomNumbers.identity()));
        if (identity.finding() != null) {
            Logger.error("data folder: {}", identity.finding());
        }
        final WriteAheadLog.Recovery recovery = retryWhileDiskIsFull(retryPauseMs, () -> WriteAheadLog.recover(disk));
        recovery.findings().forEach(finding -> Logger.error("data folder: {}", finding));
        return new DataFolder(identity.number(), recovery.writeAheadLog(), recovery.allEntries());
    }

    /**
     * On a full disk the start waits for space; only a folder without a log needs it, since an existing one can be
     * read.
     */
    private static <T> T retryWhileDiskIsFull(final long pauseMs, final Supplier<T> operation) {
        while (true) {
            try {
                return operation.get();
            } catch (final DiskFullException ex) {
                Logger.warn("data folder: no room to begin in; tried again");
                pause(pauseMs);
            }
        }
    }

    private static void pause(final long millis) {
        try {
            Thread.sleep(millis);
        } catch (final InterruptedException ex) {
            Thread.currentThread().interrupt();
            throw new ProcessStartException("interrupted before the start", ex);
        }
    }
}
