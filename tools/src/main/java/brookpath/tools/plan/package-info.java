/** The tool {@code bin/plan}: what a retirement, a drain or a change would do. */
package brookpath.tools.plan;
