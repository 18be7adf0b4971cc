/** What the operators' tools share on the command line: options, findings, usage, exit codes. */
package brookpath.tools.cli;
