/**
 * Command-line support shared by the operators' tools: {@link brookpath.tools.cli.CommandLineTool} parses options,
 * prints findings and usage, and defines the exit codes. Stateless.
 */
package brookpath.tools.cli;
