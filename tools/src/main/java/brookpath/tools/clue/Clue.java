package brookpath.tools.clue;

import static java.nio.charset.StandardCharsets.UTF_8;

import brookpath.coordination.spec.Finding;
import brookpath.tools.ask.Ask;
import jakarta.json.JsonArray;
import jakarta.json.JsonObject;
import jakarta.json.JsonValue;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.OutputStreamWriter;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.HelpFormatter;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** Explains why a publish, a subscription or a change went, or would go, where it went. */
public final class Clue {
    private static final int WRONG_ARGUMENTS = 2;
    private static final int INCOMPLETE = 1;

    private final PrintStream out;
    private final PrintStream err;
    private final Ask ask = new Ask();

    private Clue(final PrintStream out, final PrintStream err) {
        this.out = out;
        this.err = err;
    }

    public static void main(final String[] args) throws InterruptedException {
        System.exit(run(args, System.out, System.err));
    }

    static Options options() {
        return new Options()
                .addOption(null, "topic", true, "explain a publish to, and a subscription of, this topic (space/name)")
                .addOption(null, "key", true, "the caller's key")
                .addOption(null, "change", true, "explain the change with this ID")
                .addOption(
                        null,
                        "at",
                        true,
                        "HTTP addresses of running processes, host:port,...; any of them, of every kind")
                .addOption(
                        null,
                        "ring",
                        true,
                        "a ring.log that was written out; its lines on the topic, its group or the change")
                .addOption("h", "help", false, "this text");
    }

    /** 0 where all was told, 1 where something could not be reached or read, 2 for wrong arguments. */
    public static int run(final String[] args, final PrintStream out, final PrintStream err)
            throws InterruptedException {
        return new Clue(out, err).run(args);
    }

    private int run(final String[] args) throws InterruptedException {
        final List<Finding> findings = new ArrayList<>();
        CommandLine cl = null;
        try {
            cl = new DefaultParser().parse(options(), args);
        } catch (final ParseException ex) {
            findings.add(new Finding("flags", ex.getMessage()));
        }
        if (cl != null && !cl.hasOption("help")) {
            check(cl, findings);
        }
        if (!findings.isEmpty()) {
            findings.forEach(f -> err.println("clue: " + f));
            new HelpFormatter()
                    .printHelp(
                            new java.io.PrintWriter(new BufferedWriter(new OutputStreamWriter(err, UTF_8)), true),
                            120,
                            "clue",
                            null,
                            options(),
                            2,
                            2,
                            null);
            return WRONG_ARGUMENTS;
        }
        if (cl.hasOption("help")) {
            new HelpFormatter().printHelp("clue", options());
            return 0;
        }
        int group = -1;
        for (final String at : cl.hasOption("at") ? cl.getOptionValue("at").split(",") : new String[0]) {
            group = Math.max(group, process(at, cl, group));
        }
        if (cl.hasOption("ring")) {
            ring(Path.of(cl.getOptionValue("ring")), cl, group);
        }
        ask.missing().forEach(f -> err.println("clue: " + f));
        return ask.missing().isEmpty() ? 0 : INCOMPLETE;
    }

    private static void check(final CommandLine cl, final List<Finding> findings) {
        if (cl.hasOption("topic") == cl.hasOption("change")) {
            findings.add(new Finding("flags", "one of --topic and --change is needed"));
        }
        if (cl.hasOption("topic") && !cl.getOptionValue("topic").matches("[A-Za-z0-9._-]+/[A-Za-z0-9._-]+")) {
            findings.add(new Finding("--topic", "must be space/name"));
        }
        if (!cl.hasOption("at") && !cl.hasOption("ring")) {
            findings.add(new Finding("flags", "--at or --ring is needed"));
        }
        if (cl.hasOption("at")) {
            Ask.check("--at", cl.getOptionValue("at"), findings);
        }
        cl.getArgList().forEach(arg -> findings.add(new Finding("flags", "unexpected \"" + arg + "\"")));
    }

    /** Asks one process for its part; returns the topic's group where it tells. */
    private int process(final String at, final CommandLine cl, final int group) throws InterruptedException {
        final JsonObject status = ask.get(at, "/v1/status", "");
        if (status == null) {
            return group;
        }
        final String role = status.getString("role", "?");
        if (role.equals("front") && cl.hasOption("topic")) {
            return front(at, cl);
        } else if (role.equals("storage") && cl.hasOption("topic")) {
            storage(at, status, group);
        } else if (role.equals("bailiff")) {
            bailiff(at, status, cl, group);
        }
        return group;
    }

    private int front(final String at, final CommandLine cl) throws InterruptedException {
        final JsonObject ex =
                ask.get(at, "/v1/explain?topic=" + cl.getOptionValue("topic"), cl.getOptionValue("key", ""));
        if (ex == null) {
            return -1;
        }
        out.println("front " + ex.getInt("node") + " (" + at + "), spec " + ex.getJsonNumber("specVersion")
                + ", lease left " + ex.getJsonNumber("specLeaseLeftMs") + " ms");
        out.println("  a publish "
                + (ex.getInt("status") == 200
                        ? "is ferried to node " + ex.getInt("master")
                        : "is refused with " + ex.getInt("status"))
                + ": " + ex.getString("because"));
        if (ex.containsKey("table")) {
            out.println("  a subscription reads group " + ex.getInt("group") + " from node " + ex.getInt("readsFrom")
                    + "; the table as seen:");
            table(ex.getJsonArray("table"));
        }
        return ex.getInt("group");
    }

    private void storage(final String at, final JsonObject status, final int group) {
        for (final JsonValue v : status.getJsonArray("groups")) {
            if (v.asJsonObject().getInt("group") == group) {
                out.println("storage " + status.getInt("node") + " (" + at + "), spec "
                        + status.getJsonNumber("specVersion"));
                member(v.asJsonObject());
            }
        }
    }

    private void bailiff(final String at, final JsonObject status, final CommandLine cl, final int group)
            throws InterruptedException {
        out.println("bailiff " + status.getInt("node") + " (" + at + "), spec " + status.getJsonNumber("specVersion"));
        member(status.getJsonObject("control"));
        if (cl.hasOption("change")) {
            final JsonObject outcome = ask.get(at, "/v1/changes/" + cl.getOptionValue("change"), "");
            if (outcome != null) {
                out.println("  change " + cl.getOptionValue("change") + ": " + outcome);
            }
        }
        for (final JsonValue v : status.getJsonArray("placement")) {
            if (v.asJsonObject().getInt("group") == group) {
                out.println("  placement: " + v);
            }
        }
    }

    private void member(final JsonObject g) {
        out.println("  group " + g.getInt("group") + ": " + g.getString("role")
                + (g.getBoolean("mayAct") ? " that may act" : "") + ", epoch "
                + g.getJsonNumber("epoch") + ", hears master " + g.getInt("master") + ", accepted "
                + g.getJsonNumber("accepted") + " of "
                + g.getJsonNumber("endLsn") + "; " + g.getString("why")
                + (g.getString("obstacle", "").isEmpty() ? "" : "; does not stand: " + g.getString("obstacle")));
        table(g.getJsonArray("table"));
    }

    private void table(final JsonArray rows) {
        rows.forEach(r -> out.println("    " + r));
    }

    private void ring(final Path file, final CommandLine cl, final int group) {
        try {
            out.println("ring " + file);
            for (final String line : Files.readAllLines(file)) {
                if ((cl.hasOption("topic") && line.contains("publish " + cl.getOptionValue("topic") + " "))
                        || (group >= 0 && line.contains("group " + group + ":"))
                        || (cl.hasOption("change")
                                && (line.contains(cl.getOptionValue("change")) || line.contains("group 1000000:")))) {
                    out.println("  " + line);
                }
            }
        } catch (final IOException ex) {
            ask.missing().add(new Finding(file.toString(), "cannot be read: " + ex));
        }
    }
}
