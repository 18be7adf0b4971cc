/**
 * The tool {@code bin/data-folder-check}: checks whether data folders are undamaged and their replicas agree.
 * {@link brookpath.tools.datafolder.DataFolderCheck} is the command; it reads folders through
 * {@link brookpath.tools.datafolder.ReadOnlyDisk}, on one thread, and does not change them.
 */
package brookpath.tools.datafolder;
