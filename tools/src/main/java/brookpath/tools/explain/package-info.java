/**
 * The tool {@code bin/explain}: why a request was, or would be, routed where it was.
 * {@link brookpath.tools.explain.Explain} reads the pages of running processes on one thread and changes nothing.
 */
package brookpath.tools.explain;
