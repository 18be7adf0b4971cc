/** The tool {@code bin/plan}: what a retirement, a drain or a change would do, step by step. */
package brookpath.tools.plan;
