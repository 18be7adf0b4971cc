package brookpath.tools.cli;

import static java.nio.charset.StandardCharsets.UTF_8;

import brookpath.coordination.configuration.Finding;
import java.io.BufferedWriter;
import java.io.OutputStreamWriter;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.HelpFormatter;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** Runs an operators' tool: parses its command line, and reports all errors in it together. */
public final class CommandLineTool {
    /** Exit code: success. */
    public static final int OK = 0;

    /** Exit code: something could not be reached or read, or would be refused; everything else was done. */
    public static final int INCOMPLETE = 1;

    /** Exit code: the command line is wrong; nothing was done. */
    public static final int WRONG_ARGUMENTS = 2;

    private static final int USAGE_WIDTH = 120;
    private static final int USAGE_PADDING = 2;

    private CommandLineTool() {}

    /** Validates a command line that was parsed. */
    @FunctionalInterface
    public interface Check {
        /** @param findings errors are added here */
        void check(CommandLine line, List<Finding> findings);
    }

    /** The work of the tool, given a valid command line. */
    @FunctionalInterface
    public interface Body {
        /** Returns the exit code. */
        int execute(CommandLine line) throws InterruptedException;
    }

    /** Runs the tool and returns the exit code. The option "help" only prints the usage. */
    public static int run(
            final String tool,
            final Options options,
            final String[] args,
            final PrintStream err,
            final Check check,
            final Body body)
            throws InterruptedException {
        final List<Finding> findings = new ArrayList<>();
        final CommandLine line = parse(options, args, findings);
        if (line != null && line.hasOption("help")) {
            new HelpFormatter().printHelp(tool, options);
            return OK;
        }
        if (line != null) {
            check.check(line, findings);
            line.getArgList().forEach(arg -> findings.add(new Finding("flags", "unexpected \"" + arg + "\"")));
        }
        if (!findings.isEmpty()) {
            print(tool, findings, err);
            printUsage(tool, options, err);
            return WRONG_ARGUMENTS;
        }
        return body.execute(line);
    }

    private static CommandLine parse(final Options options, final String[] args, final List<Finding> findings) {
        try {
            return new DefaultParser().parse(options, args);
        } catch (final ParseException ex) {
            findings.add(new Finding("flags", ex.getMessage()));
            return null;
        }
    }

    /** Prints one finding per line, each prefixed with the name of the tool. */
    public static void print(final String tool, final List<Finding> findings, final PrintStream err) {
        findings.forEach(finding -> err.println(tool + ": " + finding));
    }

    private static void printUsage(final String tool, final Options options, final PrintStream err) {
        final PrintWriter writer = new PrintWriter(new BufferedWriter(new OutputStreamWriter(err, UTF_8)), true);
        new HelpFormatter().printHelp(writer, USAGE_WIDTH, tool, null, options, USAGE_PADDING, USAGE_PADDING, null);
        writer.flush();
    }
}
