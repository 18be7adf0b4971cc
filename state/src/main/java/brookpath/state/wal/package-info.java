/**
 * The write-ahead log of one process: what is on disk, and what survives a loss of power.
 *
 * <ul>
 *   <li>{@link brookpath.state.wal.WriteAheadLog} appends, syncs and rolls to a new segment;
 *   <li>{@link brookpath.state.wal.LogRecovery} replays a folder at the start, truncates a torn tail and distinguishes
 *       it from damage;
 *   <li>{@link brookpath.state.wal.EntryFormat} is the layout of an entry, {@link brookpath.state.wal.LogFiles} that of
 *       the folder, {@link brookpath.state.wal.SegmentScan} reads one file.
 * </ul>
 *
 * <p>The disk thread owns the log after the start; nothing here is thread-safe.
 */
package brookpath.state.wal;
