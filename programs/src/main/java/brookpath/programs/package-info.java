/**
 * The entry points of the programs: {@link brookpath.programs.Controller} is the control plane,
 * {@link brookpath.programs.DataNode} the data plane. They hold no state;
 * {@link brookpath.programs.boot.ProcessLauncher} starts the process.
 */
package brookpath.programs;
