/** The programs' entry points. */
package brookpath.programs;
