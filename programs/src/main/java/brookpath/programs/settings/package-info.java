/** A process's settings: keys and defaults, reading and checking, and changes to the file of a running process. */
package brookpath.programs.settings;
