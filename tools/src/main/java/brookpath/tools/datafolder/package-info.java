/** The tool {@code bin/creel-check}: whether data folders are whole and their copies agree. */
package brookpath.tools.datafolder;
