/** The tool {@code bin/data-folder-check}: whether data folders are undamaged and their replicas agree. */
package brookpath.tools.datafolder;
