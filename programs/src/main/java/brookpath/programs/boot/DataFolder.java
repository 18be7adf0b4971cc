package brookpath.programs.boot;

import brookpath.state.disk.DiskFullException;
import brookpath.state.disk.FolderDisk;
import brookpath.state.disk.MachineIdentity;
import brookpath.state.wal.WriteAheadLog;
import brookpath.transport.identity.RandomNumbers;
import java.nio.file.Path;
import java.util.Collection;
import java.util.List;
import java.util.function.Supplier;
import org.tinylog.Logger;

/**
 * The recovered content of the data folder of a starting process.
 *
 * @param machineIdentity the identity of the machine that the process runs on
 * @param log the write-ahead log, ready for appends; null if the machine has no disk
 * @param entries the log's entries to replay, oldest first; each iteration reads them from disk, so only before the
 *     first append
 */
record DataFolder(long machineIdentity, WriteAheadLog log, Collection<byte[]> entries) {
    /** Opens the plan's data folder and recovers its log. Damage that is found is logged as an error. */
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
        final WriteAheadLog.Recovery recovery =
                retryWhileDiskIsFull(retryPauseMs, () -> WriteAheadLog.recover(disk, System.currentTimeMillis()));
        recovery.findings().forEach(finding -> Logger.error("data folder: {}", finding));
        return new DataFolder(identity.number(), recovery.writeAheadLog(), recovery.allEntries());
    }

    /**
     * Retries an operation until the disk has space for it. Only a folder without a log needs space at the start, since
     * an existing log is only read.
     */
    private static <T> T retryWhileDiskIsFull(final long pauseMs, final Supplier<T> operation) {
        while (true) {
            try {
                return operation.get();
            } catch (final DiskFullException ex) {
                Logger.warn("data folder: disk is full; retrying until it has space");
                pause(pauseMs);
            }
        }
    }

    private static void pause(final long millis) {
        try {
            Thread.sleep(millis);
        } catch (final InterruptedException ex) {
            Thread.currentThread().interrupt();
            throw new ProcessStartException("interrupted while waiting for space in the data folder", ex);
        }
    }
}
