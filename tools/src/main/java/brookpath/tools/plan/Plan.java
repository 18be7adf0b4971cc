package brookpath.tools.plan;

import static java.nio.charset.StandardCharsets.UTF_8;

import brookpath.coordination.configuration.Configuration;
import brookpath.coordination.configuration.ConfigurationReader;
import brookpath.coordination.configuration.Finding;
import brookpath.coordination.group.Member;
import brookpath.coordination.group.Membership;
import brookpath.coordination.group.Quorums;
import brookpath.coordination.metadata.ClusterMetadata;
import brookpath.coordination.metadata.ClusterMetadata.GroupInfo;
import brookpath.coordination.metadata.ClusterMetadata.NodeInfo;
import brookpath.coordination.placement.MovePlan;
import brookpath.tools.ask.StatusClient;
import brookpath.tools.cli.CommandLineTool;
import jakarta.json.JsonObject;
import jakarta.json.JsonValue;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/**
 * Tells what a retiring, a drain or a change would do, step by step, or why it would not be done. Changes nothing; the
 * code that decides is the controller's own. Exit 0: it can be done. 1: it would be refused, or something could not be
 * reached or read. 2: wrong arguments.
 */
public final class Plan {
    private static final String TOOL = "plan";
    private static final int MAX_STEPS = 10_000;

    private final PrintStream out;
    private final PrintStream err;
    private final StatusClient ask = new StatusClient();
    private final List<Finding> whyNot = new ArrayList<>();

    private Plan(final PrintStream out, final PrintStream err) {
        this.out = out;
        this.err = err;
    }

    /** Runs the tool and exits with its code. */
    public static void main(final String[] args) throws InterruptedException {
        System.exit(run(args, System.out, System.err));
    }

    private static Options options() {
        return new Options()
                .addOption(
                        null, "at", true, "HTTP addresses of bailiffs, host:port,...; the first that responds is asked")
                .addOption(null, "retire", true, "the storage machine with this number would be emptied")
                .addOption(null, "drain", true, "the front with this number would be drained")
                .addOption(null, "change", true, "the document in this file would be handed over")
                .addOption("h", "help", false, "this text");
    }

    /** 0 where it can be done, 1 where it would be refused or something could not be read, 2 for wrong arguments. */
    public static int run(final String[] args, final PrintStream out, final PrintStream err)
            throws InterruptedException {
        final Plan plan = new Plan(out, err);
        return CommandLineTool.run(TOOL, options(), args, err, Plan::check, plan::execute);
    }

    private int execute(final CommandLine cl) throws InterruptedException {
        for (final String at : cl.getOptionValue("at").split(",")) {
            final JsonObject status = ask.get(at, "/v1/status", "");
            final JsonObject nodes = status == null ? null : ask.get(at, "/v1/nodes", "");
            if (nodes != null && nodes.containsKey("nodes") && status.containsKey("placement")) {
                tell(cl, at, status, nodes);
                whyNot.forEach(finding -> out.println("not so: " + finding));
                CommandLineTool.print(TOOL, ask.missing(), err);
                return whyNot.isEmpty() && ask.missing().isEmpty() ? CommandLineTool.OK : CommandLineTool.INCOMPLETE;
            }
            if (status != null) {
                ask.missing().add(new Finding(at, "is no bailiff that hears a control master"));
            }
        }
        CommandLineTool.print(TOOL, ask.missing(), err);
        return CommandLineTool.INCOMPLETE;
    }

    private static void check(final CommandLine cl, final List<Finding> findings) {
        final long asked = List.of("retire", "drain", "change").stream()
                .filter(cl::hasOption)
                .count();
        if (asked != 1) {
            findings.add(new Finding("flags", "one of --retire, --drain and --change is needed"));
        }
        for (final String flag : List.of("retire", "drain")) {
            if (!cl.getOptionValue(flag, "1").matches("[1-9][0-9]{0,5}")) {
                findings.add(new Finding("--" + flag, "must be a machine's number"));
            }
        }
        if (cl.hasOption("at")) {
            StatusClient.check("--at", cl.getOptionValue("at"), findings);
        } else {
            findings.add(new Finding("--at", "is missing"));
        }
    }

    private void tell(final CommandLine cl, final String at, final JsonObject status, final JsonObject nodes)
            throws InterruptedException {
        if (cl.hasOption("retire")) {
            retire(
                    Integer.parseInt(cl.getOptionValue("retire")),
                    metadata(status),
                    status.getInt("copies"),
                    alive(nodes, "storage"));
        } else if (cl.hasOption("drain")) {
            drain(Integer.parseInt(cl.getOptionValue("drain")), nodes);
        } else {
            change(Path.of(cl.getOptionValue("change")), at, status.getInt("copies"));
        }
    }

    // ---- retiring

    private static ClusterMetadata metadata(final JsonObject status) {
        final List<NodeInfo> nodes = new ArrayList<>();
        final Map<Integer, String> zones = new HashMap<>();
        for (final JsonObject n : status.getJsonArray("storages").getValuesAs(JsonObject.class)) {
            nodes.add(new NodeInfo(n.getInt("node"), n.getString("zone"), n.getString("address")));
            zones.put(n.getInt("node"), n.getString("zone"));
        }
        final List<GroupInfo> groups = new ArrayList<>();
        for (final JsonObject g : status.getJsonArray("placement").getValuesAs(JsonObject.class)) {
            final List<Member> voters = new ArrayList<>();
            g.getJsonArray("members")
                    .getValuesAs(JsonObject.class)
                    .forEach(m -> voters.add(new Member(m.getInt("node"), m.getInt("weight"), m.getString("zone"))));
            final List<Member> learners = new ArrayList<>();
            g.getJsonArray("learners")
                    .forEach(v -> learners.add(
                            new Member(Integer.parseInt(v.toString()), 0, zones.get(Integer.parseInt(v.toString())))));
            groups.add(new GroupInfo(
                    g.getInt("group"),
                    g.getBoolean("founded"),
                    new Membership(g.getInt("groupVersion"), voters, learners)));
        }
        final List<Integer> retiring = new ArrayList<>();
        for (final JsonValue v : status.getJsonArray("retiring")) {
            retiring.add(Integer.parseInt(v.toString()));
        }
        return new ClusterMetadata(status.getInt("rosterVersion"), nodes, groups, retiring);
    }

    private static Set<Integer> alive(final JsonObject nodes, final String role) {
        final Set<Integer> alive = new TreeSet<>();
        for (final JsonObject n : nodes.getJsonArray("nodes").getValuesAs(JsonObject.class)) {
            if (n.getString("role").equals(role) && n.getInt("leaseLeftMs") > 0) {
                alive.add(n.getInt("node"));
            }
        }
        return alive;
    }

    private void retire(final int node, final ClusterMetadata metadata, final int copies, final Set<Integer> alive) {
        final MovePlan.Retirement r = MovePlan.retire(metadata, node, true, alive);
        whyNot.addAll(r.findings());
        if (!whyNot.isEmpty()) {
            return;
        }
        ClusterMetadata now = r.then();
        int step = 0;
        // without steady machines nothing moves for the mere spread, which is not what was asked
        for (List<MovePlan.Move> moves = MovePlan.next(now, alive, Set.of(), copies);
                !moves.isEmpty() && step < MAX_STEPS;
                moves = MovePlan.next(now, alive, Set.of(), copies)) {
            for (final MovePlan.Move m : moves) {
                final ClusterMetadata then = MovePlan.after(now, m);
                if (then != null) {
                    final GroupInfo was = now.groups().get(m.group());
                    now = then;
                    out.println("step " + ++step + ": " + what(was, m));
                }
            }
        }
        for (final NodeInfo n : now.nodes()) {
            final ClusterMetadata end = now;
            out.println("then node " + n.node() + " in zone " + n.zone() + " holds "
                    + end.groups().stream()
                            .filter(g -> g.membership().holds(n.node()))
                            .count() + " groups, held "
                    + metadata.groups().stream()
                            .filter(g -> g.membership().holds(n.node()))
                            .count());
        }
    }

    private static String what(final GroupInfo g, final MovePlan.Move m) {
        final int to = m.to().node();
        final String step = !g.membership().holds(to)
                ? "node " + to + " learns it"
                : Membership.find(g.membership().learners(), to) != null
                        ? "node " + to + " votes"
                        : "node " + m.from() + " lets it go";
        return "group " + g.id() + ": " + step + "; " + m.why();
    }

    // ---- draining

    private void drain(final int node, final JsonObject nodes) {
        JsonObject gateway = null;
        final Set<Integer> inZone = new TreeSet<>();
        final Set<Integer> elsewhere = new TreeSet<>();
        for (final JsonObject n : nodes.getJsonArray("nodes").getValuesAs(JsonObject.class)) {
            if (n.getInt("node") == node && n.getString("role").equals("front")) {
                gateway = n;
            }
        }
        if (gateway == null) {
            whyNot.add(new Finding("/fronts/" + node, "no such front is heard"));
            return;
        }
        for (final JsonObject n : nodes.getJsonArray("nodes").getValuesAs(JsonObject.class)) {
            if (n.getString("role").equals("front")
                    && n.getInt("node") != node
                    && !n.getBoolean("draining")
                    && n.getInt("leaseLeftMs") > 0) {
                (n.getString("zone").equals(gateway.getString("zone")) ? inZone : elsewhere).add(n.getInt("node"));
            }
        }
        if (inZone.isEmpty() && elsewhere.isEmpty()) {
            whyNot.add(new Finding("/fronts/" + node, "no other front is ready; its sessions would find no node"));
            return;
        }
        out.println("step 1: node " + node + " is not ready any more and refuses new sessions with 503");
        out.println("step 2: its sessions end one by one over half the recovery bound, each with its cursor good");
        out.println(
                inZone.isEmpty()
                        ? "they go to other zones, none is left in " + gateway.getString("zone") + ": " + elsewhere
                        : "they find in their zone " + gateway.getString("zone") + ": " + inZone + ", elsewhere: "
                                + elsewhere);
    }

    // ---- a change

    private void change(final Path file, final String at, final int copies) throws InterruptedException {
        final byte[] doc;
        try {
            doc = Files.readAllBytes(file);
        } catch (final IOException ex) {
            ask.missing().add(new Finding(file.toString(), "cannot be read: " + ex));
            return;
        }
        final JsonObject now = ask.get(at, "/v1/spec", "");
        if (now == null) {
            return;
        }
        final long version = now.getInt("version", 0);
        final Configuration present = version == 0
                ? Configuration.NONE
                : ConfigurationReader.stored(
                        now.getJsonObject("document").toString().getBytes(UTF_8), version);
        // the controller's floor follows from the copies and from one machine that may be lost, as its settings have
        // it by default
        final ConfigurationReader.Reading r = ConfigurationReader.read(
                doc, version + 1, new ConfigurationReader.Limits(copies, Quorums.floor(copies, 1)), present);
        whyNot.addAll(r.findings());
        if (r.configuration() == null) {
            return;
        }
        if (r.configuration().basedOn() != version) {
            whyNot.add(new Finding(
                    "/basedOn", "is " + r.configuration().basedOn() + ", the present version is " + version));
        }
        differ("space", present.spaces(), r.configuration().spaces());
        differ("tenant", present.tenants(), r.configuration().tenants());
        final Set<String> gone = new HashSet<>(present.keys().keySet());
        gone.removeAll(r.configuration().keys().keySet());
        final Set<String> come = new HashSet<>(r.configuration().keys().keySet());
        come.removeAll(present.keys().keySet());
        out.println(come.size() + " keys come; " + gone.size()
                + " keys go, and the sessions on them end as each front takes the change");
    }

    private <T> void differ(final String what, final Map<String, T> was, final Map<String, T> is) {
        was.keySet().stream()
                .filter(n -> !is.containsKey(n))
                .sorted()
                .forEach(n -> out.println(what + " " + n + " goes"));
        is.keySet().stream()
                .filter(n -> !was.containsKey(n))
                .sorted()
                .forEach(n -> out.println(what + " " + n + " comes"));
        is.forEach((n, v) -> {
            if (was.containsKey(n) && !was.get(n).equals(v)) {
                out.println(what + " " + n + " changes from " + was.get(n) + " to " + v);
            }
        });
    }
}
