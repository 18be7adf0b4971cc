/**
 * The tool {@code bin/plan}: shows what a retirement, a drain or a change would do. {@link brookpath.tools.plan.Plan}
 * is the command; it reads {@link brookpath.tools.plan.StatusPages} and prints a
 * {@link brookpath.tools.plan.PlanReport}. One thread; it changes nothing in the cluster.
 */
package brookpath.tools.plan;
