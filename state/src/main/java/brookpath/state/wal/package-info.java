/**
 * The write-ahead log of one process, which survives power losses.
 *
 * <ul>
 *   <li>{@link brookpath.state.wal.WriteAheadLog} appends, syncs and rolls to a new segment;
 *   <li>{@link brookpath.state.wal.LogRecovery} reads a folder at startup, truncates a torn tail and distinguishes it
 *       from damage;
 *   <li>{@link brookpath.state.wal.EntryFormat} is the layout of an entry, {@link brookpath.state.wal.LogFiles} defines
 *       the file names, {@link brookpath.state.wal.SegmentScan} reads one file.
 * </ul>
 *
 * <p>Nothing here is thread-safe; after startup the disk thread owns the log.
 */
package brookpath.state.wal;
