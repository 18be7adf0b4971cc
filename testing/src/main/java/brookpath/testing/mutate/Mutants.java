package brookpath.testing.mutate;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import javax.tools.JavaCompiler;
import javax.tools.ToolProvider;

/**
 * Mutation testing, outside CI: breaks the production code one rule at a time and tests whether a check fails, first
 * the scenario tests, then the group fuzz, then a sweep. {@code bin/mutants [SEEDS [NAME-PART]]}; {@code bin/mutants
 * model [NAME-PART]} takes the rules of one replication group, with the model as the check. Exits 1 if a mutant
 * survived.
 */
public final class Mutants {
    /** The mutants of rules for how the processes work together. */
    static final String TABLE = "mutants.txt";
    /** The mutants of rules of one replication group. */
    static final String MODEL_TABLE = "model-mutants.txt";

    /** One mutant: a text in a file of the coordination module, and its replacement. */
    record Mutant(String name, String file, String find, String replace, String faults) {
        /** The source file in a checkout of the repository. */
        Path source(final Path checkout) {
            return checkout.resolve("coordination/src/main/java/brookpath/coordination")
                    .resolve(file);
        }

        /** Finds the text in the source; throws an IllegalStateException if it is not there. */
        Matcher locate(final Path checkout) throws IOException {
            final Path source = source(checkout);
            final Matcher found = Pattern.compile(anyLayout(find)).matcher(Files.readString(source));
            if (!found.find()) {
                throw new IllegalStateException(name + ": its text was not found in " + source);
            }
            return found;
        }
    }

    private static final String MODEL = "model";
    private static final int MAX_FAILURE_LENGTH = 110;
    /** The scenario tests, and equally quick tests of single state machines. */
    private static final String SCENARIOS = String.join(
            ",",
            "brookpath.testing.sim.LeaderElectionScenariosTest",
            "brookpath.testing.sim.LogReplicationScenariosTest",
            "brookpath.testing.sim.ReplicaLossScenariosTest",
            "brookpath.testing.sim.PlacementScenariosTest",
            "brookpath.testing.sim.PublishScenariosTest",
            "brookpath.testing.sim.SessionScenariosTest",
            "brookpath.testing.sim.ConfigurationScenariosTest",
            "brookpath.testing.sim.UsageScenariosTest",
            "brookpath.testing.sim.TopicStateTest",
            "brookpath.testing.sim.ControlReadsTest",
            "brookpath.testing.sim.OrderRepeatsTest",
            "brookpath.testing.ControlStateTest",
            "brookpath.testing.sim.GroupRepairTest",
            "brookpath.testing.sim.ControlMembershipTest",
            "brookpath.testing.sim.ControlStateSizeTest",
            "brookpath.testing.sim.FullSyncTest",
            "brookpath.testing.sim.FullDiskTest",
            "brookpath.testing.sim.RejoinAfterManyChangesTest",
            "brookpath.testing.sim.AddressReuseTest",
            "brookpath.testing.sim.CallIdsTest",
            "brookpath.testing.sim.ConfigurationUpdatesTest",
            "brookpath.testing.sim.UsageRepeatTest",
            "brookpath.testing.PublishForwarderTest");

    private Mutants() {}

    /** Runs the mutants whose row contains the second argument; the first is the number of seeds, or {@code model}. */
    public static void main(final String[] args) throws Exception {
        final String seeds = args.length > 0 ? args[0] : "24";
        final boolean model = seeds.equals(MODEL);
        final List<Mutant> mutants = read(model ? MODEL_TABLE : TABLE, args.length < 2 ? "" : args[1]);
        // a check that fails without a mutant cannot detect one
        final Path work = Files.createTempDirectory("baseline");
        final String classPath = System.getProperty("java.class.path");
        final String baselineFailure = model ? runModel(work, classPath) : runScenarios(work, classPath);
        if (baselineFailure != null) {
            System.err.println("mutants: the check fails without any mutant: " + baselineFailure);
            System.exit(1);
        }
        final ExecutorService pool = Executors.newFixedThreadPool(model ? 1 : 4);
        final List<Future<String>> results = new ArrayList<>();
        for (final Mutant m : mutants) {
            results.add(pool.submit(() -> runMutant(m, seeds)));
        }
        int survived = 0;
        System.out.println("| mutant | detected by | first failure |\n|---|---|---|");
        for (final Future<String> result : results) {
            System.out.println(result.get());
            survived += result.get().contains("| SURVIVED |") ? 1 : 0;
        }
        pool.shutdown();
        System.out.println(mutants.size() + " mutants, " + survived + " survived");
        System.exit(survived == 0 ? 0 : 1);
    }

    /** The mutants of a table whose line contains the given text. */
    static List<Mutant> read(final String file, final String part) throws IOException {
        final List<Mutant> mutants = new ArrayList<>();
        try (InputStream in = Mutants.class.getResourceAsStream("/brookpath/testing/" + file)) {
            for (final String line : new String(in.readAllBytes(), UTF_8).split("\n")) {
                if (!line.startsWith("#") && !line.isBlank() && line.contains(part)) {
                    final String[] p = line.replace("\\|", "\u0001").split(" \\| ");
                    mutants.add(new Mutant(p[0].trim(), p[1].trim(), text(p[2]), text(p[3]), p[4].trim()));
                }
            }
        }
        return mutants;
    }

    private static String runScenarios(final Path work, final String classPath)
            throws IOException, InterruptedException {
        return run(
                work,
                classPath,
                "AssertionError",
                "org.testng.TestNG",
                "-usedefaultlisteners",
                "false",
                "-verbose",
                "2",
                "-d",
                work.resolve("testng").toString(),
                "-testclass",
                SCENARIOS);
    }

    private static String runModel(final Path work, final String classPath) throws IOException, InterruptedException {
        return run(work, classPath, "^VIOLATION.*", "brookpath.testing.model.ModelMain", "150", "1", "4000");
    }

    private static String text(final String s) {
        return s.trim().replace("\u0001", "|").replace("\\n", "\n");
    }

    /** A pattern that matches the text however the formatter breaks its lines. */
    private static String anyLayout(final String text) {
        final StringBuilder pattern = new StringBuilder();
        text.chars()
                .filter(c -> !Character.isWhitespace(c))
                .forEach(c -> pattern.append(pattern.length() == 0 ? "" : "\\s*")
                        .append(Pattern.quote(Character.toString(c))));
        return pattern.toString();
    }

    private static String runMutant(final Mutant m, final String seeds) throws IOException, InterruptedException {
        final Path work = Files.createTempDirectory("mutant");
        final String cp = System.getProperty("java.class.path");
        final Path out = compile(m, work, cp);
        final String mutatedCp = out + File.pathSeparator + cp;
        if (seeds.equals(MODEL)) {
            final String failure = runModel(work, mutatedCp);
            return "| " + m.name + (failure == null ? " | SURVIVED | |" : " | model | " + failure + " |");
        }
        String failure = runScenarios(work, mutatedCp);
        if (failure != null) {
            return "| " + m.name + " | scenario | " + failure + " |";
        }
        failure = run(work, mutatedCp, "^  [0-9]+:.*", "brookpath.testing.fuzz.GroupFuzz", "1", "300");
        if (failure != null) {
            return "| " + m.name + " | group fuzz | " + failure + " |";
        }
        failure = run(
                work,
                mutatedCp,
                "^(  [0-9]+:|seed [0-9]+: java).*",
                "brookpath.testing.sim.Sweep",
                "1",
                seeds,
                m.faults);
        return failure != null
                ? "| " + m.name + " | sweep " + m.faults + " | " + failure + " |"
                : "| " + m.name + " | SURVIVED | |";
    }

    /** Compiles the mutated file into a directory below {@code work}, and returns the directory. */
    private static Path compile(final Mutant m, final Path work, final String cp) throws IOException {
        final Matcher found = m.locate(Path.of(""));
        final Path mutated = work.resolve("src").resolve(m.file);
        Files.createDirectories(mutated.getParent());
        Files.writeString(mutated, found.replaceAll(Matcher.quoteReplacement(m.replace)));
        final Path out = Files.createDirectories(work.resolve("classes"));
        final JavaCompiler javac = ToolProvider.getSystemJavaCompiler();
        if (javac.run(null, null, null, "-nowarn", "-d", out.toString(), "-cp", cp, mutated.toString()) != 0) {
            throw new IllegalStateException(m.name + ": does not compile");
        }
        return out;
    }

    /** Runs a check; returns the first line that describes its failure, or null if it passed. */
    private static String run(final Path work, final String cp, final String mark, final String... cmd)
            throws IOException, InterruptedException {
        final List<String> all = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Djava.util.concurrent.ForkJoinPool.common.parallelism=2",
                "-cp",
                cp));
        all.addAll(List.of(cmd));
        final File out = work.resolve("out-" + cmd[0] + ".txt").toFile();
        final Process p = new ProcessBuilder(all)
                .redirectErrorStream(true)
                .redirectOutput(out)
                .start();
        if (!p.waitFor(400, TimeUnit.SECONDS)) {
            p.destroyForcibly();
            return "the run did not end within 400 s";
        }
        if (p.exitValue() == 0) {
            return null;
        }
        for (final String line : Files.readString(out.toPath()).split("\n")) {
            if (mark.startsWith("^") ? line.matches(mark) : line.contains(mark) || line.contains("Exception")) {
                final String text = line.strip().replace('|', '/').replace("java.lang.AssertionError: ", "");
                return text.substring(0, Math.min(MAX_FAILURE_LENGTH, text.length()));
            }
        }
        return "a scenario failed";
    }
}
