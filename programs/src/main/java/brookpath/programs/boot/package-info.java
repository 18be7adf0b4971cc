/**
 * Assembles a process from its settings and starts it: {@link brookpath.programs.boot.ProcessPlan} is the input,
 * {@link brookpath.programs.boot.ProcessAssembly} builds the node, data folder and sessions with peers, and
 * {@link brookpath.programs.boot.ProcessLauncher} starts it together with the HTTP server. The start runs on the main
 * thread; the threads that it starts belong to {@link brookpath.transport.loop.Host} and to the HTTP server.
 */
package brookpath.programs.boot;
