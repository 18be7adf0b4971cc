/** The tool {@code bin/data-folder-check}: whether data folders are whole and their copies agree. */
package brookpath.tools.datafolder;
