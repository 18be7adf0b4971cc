package brookpath.tools.plan;

import brookpath.coordination.configuration.Finding;
import brookpath.tools.ask.StatusClient;
import brookpath.tools.cli.CommandLineTool;
import jakarta.json.JsonObject;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/**
 * Shows step by step what a retirement, a drain or a change would do, or why it would be refused. Changes nothing. The
 * decisions are made by the same code as in the controller.
 */
public final class Plan {
    private static final String TOOL = "plan";
    private static final String AT = "at";
    private static final String RETIRE = "retire";
    private static final String DRAIN = "drain";
    private static final String CHANGE = "change";

    private final PrintStream err;
    private final PlanReport report;
    private final StatusClient client = new StatusClient();

    private Plan(final PrintStream out, final PrintStream err) {
        this.err = err;
        report = new PlanReport(out);
    }

    /** Runs the tool and exits with its code. */
    public static void main(final String[] args) throws InterruptedException {
        System.exit(run(args, System.out, System.err));
    }

    private static Options options() {
        return new Options()
                .addOption(
                        null, AT, true, "HTTP addresses of controllers, host:port,...; the first that responds is used")
                .addOption(null, RETIRE, true, "plan the retirement of the storage node with this number")
                .addOption(null, DRAIN, true, "plan the drain of the gateway with this number")
                .addOption(null, CHANGE, true, "plan the submission of the change document in this file")
                .addOption("h", "help", false, "print this help");
    }

    /**
     * Returns the exit code: {@link CommandLineTool#OK} if it can be done, {@link CommandLineTool#INCOMPLETE} if it
     * would be refused or something could not be read, {@link CommandLineTool#WRONG_ARGUMENTS}.
     */
    public static int run(final String[] args, final PrintStream out, final PrintStream err)
            throws InterruptedException {
        final Plan plan = new Plan(out, err);
        return CommandLineTool.run(TOOL, options(), args, err, Plan::check, plan::execute);
    }

    private static void check(final CommandLine line, final List<Finding> findings) {
        final long requested =
                Stream.of(RETIRE, DRAIN, CHANGE).filter(line::hasOption).count();
        if (requested != 1) {
            findings.add(new Finding("flags", "one of --retire, --drain and --change is needed"));
        }
        for (final String flag : List.of(RETIRE, DRAIN)) {
            if (!line.getOptionValue(flag, "1").matches("[1-9][0-9]{0,5}")) {
                findings.add(new Finding("--" + flag, "must be a node number"));
            }
        }
        if (line.hasOption(AT)) {
            StatusClient.check("--at", line.getOptionValue(AT), findings);
        } else {
            findings.add(new Finding("--at", "is missing"));
        }
    }

    private int execute(final CommandLine line) throws InterruptedException {
        for (final String address : line.getOptionValue(AT).split(",")) {
            final JsonObject status = client.get(address, "/v1/status", "");
            final JsonObject nodes = status == null ? null : client.get(address, "/v1/nodes", "");
            if (nodes != null && nodes.containsKey("nodes") && status.containsKey("placement")) {
                plan(line, address, new StatusPages(status, nodes));
                report.printObjections();
                return exitCode();
            }
            if (status != null) {
                client.unreadable().add(new Finding(address, "is not a controller that hears from a control leader"));
            }
        }
        return exitCode();
    }

    private int exitCode() {
        CommandLineTool.print(TOOL, client.unreadable(), err);
        return report.isRefused() || !client.unreadable().isEmpty() ? CommandLineTool.INCOMPLETE : CommandLineTool.OK;
    }

    private void plan(final CommandLine line, final String address, final StatusPages pages)
            throws InterruptedException {
        if (line.hasOption(RETIRE)) {
            final int node = Integer.parseInt(line.getOptionValue(RETIRE));
            new RetirementPlan(pages, report).report(node, pages.metadata());
        } else if (line.hasOption(DRAIN)) {
            new DrainPlan(pages, report).report(Integer.parseInt(line.getOptionValue(DRAIN)));
        } else {
            planChange(Path.of(line.getOptionValue(CHANGE)), address, pages.replicas());
        }
    }

    private void planChange(final Path file, final String address, final int replicas) throws InterruptedException {
        final byte[] document;
        try {
            document = Files.readAllBytes(file);
        } catch (final IOException ex) {
            client.unreadable().add(new Finding(file.toString(), "cannot be read: " + ex));
            return;
        }
        final JsonObject current = client.get(address, "/v1/spec", "");
        if (current != null) {
            new ChangePlan(report).report(document, current, replicas);
        }
    }
}
