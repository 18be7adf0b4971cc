/**
 * What the operators' tools share on the command line: {@link brookpath.tools.cli.CommandLineTool} parses options,
 * prints findings and usage, and defines the exit codes. No state, one thread.
 */
package brookpath.tools.cli;
