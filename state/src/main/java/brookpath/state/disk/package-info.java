/** The data folder of a process as an interface, so that tests can fail it, and as a folder of the file system. */
package brookpath.state.disk;
