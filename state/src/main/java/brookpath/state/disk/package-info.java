/**
 * The data folder of a process: {@link brookpath.state.disk.Disk} and {@link brookpath.state.disk.DiskFile} are the
 * interfaces, so that tests can inject faults; {@link brookpath.state.disk.FolderDisk} is a locked folder of the file
 * system. {@link brookpath.state.disk.MachineIdentity} is the number that a machine stores there. Nothing here is
 * thread-safe; after startup only the disk thread uses it.
 */
package brookpath.state.disk;
