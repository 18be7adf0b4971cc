/**
 * The oracle of the control plane: what its callers saw of changes, reads and retirements, checked against the rules of
 * {@link brookpath.testing.oracle.control.ControlRule}.
 */
package brookpath.testing.oracle.control;
