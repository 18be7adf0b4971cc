/** The tool {@code bin/explain}: why a request went, or would go, where it went. */
package brookpath.tools.explain;
