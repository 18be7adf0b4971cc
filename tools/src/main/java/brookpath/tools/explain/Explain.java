package brookpath.tools.explain;

import brookpath.coordination.configuration.Finding;
import brookpath.tools.ask.StatusClient;
import brookpath.tools.cli.CommandLineTool;
import jakarta.json.JsonArray;
import jakarta.json.JsonObject;
import jakarta.json.JsonValue;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** Explains why a publish, a subscription or a change was, or would be, routed where it was. */
public final class Explain {
    private static final String TOOL = "explain";
    private static final String TOPIC = "topic";
    private static final String KEY = "key";
    private static final String CHANGE = "change";
    private static final String AT = "at";
    private static final String RING = "ring";
    private static final int UNKNOWN_GROUP = -1;
    private static final int HTTP_OK = 200;

    /** The values of the role on a status page. */
    private static final String ROLE_GATEWAY = "front";

    private static final String ROLE_STORAGE = "storage";
    private static final String ROLE_CONTROLLER = "bailiff";

    /** The start of the lines on the control group in the log ring. */
    private static final String CONTROL_GROUP_LINE = "group 1000000:";

    private final PrintStream out;
    private final PrintStream err;
    private final StatusClient client = new StatusClient();

    private Explain(final PrintStream out, final PrintStream err) {
        this.out = out;
        this.err = err;
    }

    /** Runs the tool and exits with its code. */
    public static void main(final String[] args) throws InterruptedException {
        System.exit(run(args, System.out, System.err));
    }

    private static Options options() {
        return new Options()
                .addOption(null, TOPIC, true, "explain a publish to, and a subscription of, this topic (space/name)")
                .addOption(null, KEY, true, "the caller's key")
                .addOption(null, CHANGE, true, "explain the change with this ID")
                .addOption(null, AT, true, "HTTP addresses of running processes of any role, host:port,...")
                .addOption(null, RING, true, "a ring.log file; prints its lines on the topic, its group or the change")
                .addOption("h", "help", false, "print this help");
    }

    /**
     * Returns the exit code: {@link CommandLineTool#OK}, {@link CommandLineTool#INCOMPLETE} where something could not
     * be reached or read (the rest is explained), {@link CommandLineTool#WRONG_ARGUMENTS}.
     */
    public static int run(final String[] args, final PrintStream out, final PrintStream err)
            throws InterruptedException {
        final Explain explain = new Explain(out, err);
        return CommandLineTool.run(TOOL, options(), args, err, Explain::check, explain::execute);
    }

    private static void check(final CommandLine line, final List<Finding> findings) {
        if (line.hasOption(TOPIC) == line.hasOption(CHANGE)) {
            findings.add(new Finding("flags", "one of --topic and --change is needed"));
        }
        if (line.hasOption(TOPIC) && !line.getOptionValue(TOPIC).matches("[A-Za-z0-9._-]+/[A-Za-z0-9._-]+")) {
            findings.add(new Finding("--topic", "must be space/name"));
        }
        if (!line.hasOption(AT) && !line.hasOption(RING)) {
            findings.add(new Finding("flags", "--at or --ring is needed"));
        }
        if (line.hasOption(AT)) {
            StatusClient.check("--at", line.getOptionValue(AT), findings);
        }
    }

    private int execute(final CommandLine line) throws InterruptedException {
        int group = UNKNOWN_GROUP;
        if (line.hasOption(AT)) {
            for (final String address : line.getOptionValue(AT).split(",")) {
                group = Math.max(group, explainProcess(address, line, group));
            }
        }
        if (line.hasOption(RING)) {
            printLogRing(Path.of(line.getOptionValue(RING)), line, group);
        }
        CommandLineTool.print(TOOL, client.unreadable(), err);
        return client.unreadable().isEmpty() ? CommandLineTool.OK : CommandLineTool.INCOMPLETE;
    }

    /** Explains the part of one process; returns the group of the topic if the page of the process shows it. */
    private int explainProcess(final String address, final CommandLine line, final int group)
            throws InterruptedException {
        final JsonObject status = client.get(address, "/v1/status", "");
        if (status == null) {
            return group;
        }
        final String role = status.getString("role", "?");
        if (role.equals(ROLE_GATEWAY) && line.hasOption(TOPIC)) {
            return explainGateway(address, line);
        }
        if (role.equals(ROLE_STORAGE) && line.hasOption(TOPIC)) {
            explainStorage(address, status, group);
        } else if (role.equals(ROLE_CONTROLLER)) {
            explainController(address, status, line, group);
        }
        return group;
    }

    private int explainGateway(final String address, final CommandLine line) throws InterruptedException {
        final String path = "/v1/explain?topic=" + line.getOptionValue(TOPIC);
        final JsonObject page = client.get(address, path, line.getOptionValue(KEY, ""));
        if (page == null) {
            return UNKNOWN_GROUP;
        }
        out.println("gateway " + page.getInt("node") + " (" + address + "), configuration "
                + page.getJsonNumber("specVersion") + ", lease left " + page.getJsonNumber("specLeaseLeftMs") + " ms");
        final int status = page.getInt("status");
        final String routing =
                status == HTTP_OK ? "is forwarded to node " + page.getInt("master") : "is refused with " + status;
        out.println("  a publish " + routing + ": " + page.getString("because"));
        if (page.containsKey("table")) {
            out.println("  a subscription reads group " + page.getInt("group") + " from node "
                    + page.getInt("readsFrom") + "; members of the group as the gateway sees them:");
            printRows(page.getJsonArray("table"));
        }
        return page.getInt("group");
    }

    private void explainStorage(final String address, final JsonObject status, final int group) {
        for (final JsonValue value : status.getJsonArray("groups")) {
            if (value.asJsonObject().getInt("group") == group) {
                out.println("storage " + status.getInt("node") + " (" + address + "), configuration "
                        + status.getJsonNumber("specVersion"));
                printMember(value.asJsonObject());
            }
        }
    }

    private void explainController(
            final String address, final JsonObject status, final CommandLine line, final int group)
            throws InterruptedException {
        out.println("controller " + status.getInt("node") + " (" + address + "), configuration "
                + status.getJsonNumber("specVersion"));
        printMember(status.getJsonObject("control"));
        if (line.hasOption(CHANGE)) {
            final String change = line.getOptionValue(CHANGE);
            final JsonObject outcome = client.get(address, "/v1/changes/" + change, "");
            if (outcome != null) {
                out.println("  change " + change + ": " + outcome);
            }
        }
        for (final JsonValue value : status.getJsonArray("placement")) {
            if (value.asJsonObject().getInt("group") == group) {
                out.println("  placement: " + value);
            }
        }
    }

    private void printMember(final JsonObject group) {
        final String obstacle = group.getString("obstacle", "");
        out.println("  group " + group.getInt("group") + ": " + group.getString("role")
                + (group.getBoolean("mayAct") ? " that may act" : "")
                + ", epoch " + group.getJsonNumber("epoch")
                + ", hears leader " + group.getInt("master")
                + ", committed " + group.getJsonNumber("accepted") + " of " + group.getJsonNumber("endLsn")
                + "; " + group.getString("why")
                + (obstacle.isEmpty() ? "" : "; cannot be elected: " + obstacle));
        printRows(group.getJsonArray("table"));
    }

    private void printRows(final JsonArray rows) {
        rows.forEach(row -> out.println("    " + row));
    }

    private void printLogRing(final Path file, final CommandLine line, final int group) {
        try {
            out.println("log ring " + file);
            for (final String entry : Files.readAllLines(file)) {
                if (concerns(entry, line, group)) {
                    out.println("  " + entry);
                }
            }
        } catch (final IOException ex) {
            client.unreadable().add(new Finding(file.toString(), "cannot be read: " + ex));
        }
    }

    /** Whether an entry of the log ring concerns the topic, its group or the change. */
    private static boolean concerns(final String entry, final CommandLine line, final int group) {
        if (line.hasOption(TOPIC) && entry.contains("publish " + line.getOptionValue(TOPIC) + " ")) {
            return true;
        }
        if (group != UNKNOWN_GROUP && entry.contains("group " + group + ":")) {
            return true;
        }
        return line.hasOption(CHANGE)
                && (entry.contains(line.getOptionValue(CHANGE)) || entry.contains(CONTROL_GROUP_LINE));
    }
}
