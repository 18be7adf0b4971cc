/**
 * The tool {@code bin/explain}: explains why a request was, or would be, routed as it was.
 * {@link brookpath.tools.explain.Explain} reads status pages of running processes on one thread and changes nothing.
 */
package brookpath.tools.explain;
