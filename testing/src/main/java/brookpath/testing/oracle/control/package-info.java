/**
 * The oracle of the control plane: checks what its callers saw of changes, reads and retirements against the rules of
 * {@link brookpath.testing.oracle.control.ControlRule}.
 */
package brookpath.testing.oracle.control;
