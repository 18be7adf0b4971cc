/** Judges what callers, operators and the platform saw. Knows nothing of the system's insides. */
package brookpath.testing.oracle;
