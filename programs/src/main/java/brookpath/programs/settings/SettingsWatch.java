package brookpath.programs.settings;

import brookpath.coordination.configuration.Finding;
import brookpath.coordination.node.control.GroupBootstrap;
import brookpath.programs.Program;
import brookpath.transport.http.SettingsReport;
import jakarta.json.Json;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.tinylog.Logger;

/**
 * Watches the settings file of a running process. A changed file is read and checked as at a start, and adopted
 * completely or not at all: where it is wrong in any way, or changes what cannot change in a running process, its
 * findings are reported and the process keeps its present settings.
 *
 * <p>One thread calls {@link #checkFile}; any thread may read.
 */
public final class SettingsWatch implements SettingsReport {
    private final Path file;
    private final String[] args;
    private final Program program;
    private final Consumer<Settings> onChange;
    private final AtomicInteger changesAdopted = new AtomicInteger();
    private volatile Settings current;
    private volatile List<Finding> findings = List.of();
    private byte[] contentEvaluated;
    private byte[] contentSeen;

    /**
     * @param args as the process was started; without a settings file among them there is nothing to watch
     * @param current the settings that the process was started with
     * @param onChange called with each change that is adopted, by the thread that calls {@link #checkFile}
     */
    public SettingsWatch(
            final String[] args, final Program program, final Settings current, final Consumer<Settings> onChange) {
        this.args = args;
        this.program = program;
        this.current = current;
        this.onChange = onChange;
        file = SettingsReader.file(args, program);
        contentEvaluated = readFile();
        contentSeen = contentEvaluated;
    }

    /** Null where there is no file. */
    private byte[] readFile() {
        try {
            return file == null ? null : Files.readAllBytes(file);
        } catch (final IOException ex) {
            return null;
        }
    }

    /** To be called periodically; true where there was a new content to evaluate. */
    public synchronized boolean checkFile() {
        final byte[] content = readFile();
        // why: a file that still changes is being written; it is evaluated once it has been the same twice
        final boolean stable = Arrays.equals(content, contentSeen);
        contentSeen = content;
        if (!stable || Arrays.equals(content, contentEvaluated)) {
            return false;
        }
        contentEvaluated = content;
        evaluate(
                content == null
                        ? SettingsReader.Reading.failed(file.toString(), "is gone; the next start needs it")
                        : SettingsReader.read(args, program, content));
        return true;
    }

    private void evaluate(final SettingsReader.Reading reading) {
        reading.warnings().forEach(warning -> Logger.warn("settings: {}", warning));
        final List<Finding> reasons = new ArrayList<>(reading.findings());
        if (reasons.isEmpty()) {
            reasons.addAll(fixedSettingsChanged(current, reading.settings()));
        }
        findings = List.copyOf(reasons);
        if (reasons.isEmpty()) {
            adopt(reading.settings());
        } else {
            reasons.forEach(reason -> Logger.warn("settings rejected: {}", reason));
        }
    }

    private void adopt(final Settings settings) {
        current = settings;
        changesAdopted.incrementAndGet();
        onChange.accept(settings);
        Logger.info("settings adopted: segmentBytes {}, platform {}", settings.segmentBytes(), settings.platformUrl());
    }

    /** What differs and cannot change in a running process. */
    private static List<Finding> fixedSettingsChanged(final Settings before, final Settings after) {
        final List<Finding> changed = new ArrayList<>();
        compare(changed, SettingsKeys.NODE.key(), before.node(), after.node());
        compare(changed, SettingsKeys.ZONE, before.zone(), after.zone());
        compare(changed, SettingsKeys.ROLE, before.role(), after.role());
        compare(changed, SettingsKeys.PEERS, before.peerAddress(), after.peerAddress());
        compare(changed, SettingsKeys.REACHED_AS, before.advertisedPeerAddress(), after.advertisedPeerAddress());
        compare(changed, SettingsKeys.HTTP, before.httpAddress(), after.httpAddress());
        compare(changed, SettingsKeys.SEEDS, before.seeds(), after.seeds());
        compare(changed, SettingsKeys.DATA, before.dataFolder(), after.dataFolder());
        compare(changed, SettingsKeys.BOUNDS, before.timing(), after.timing());
        compare(
                changed,
                SettingsKeys.TOLERATED_LOSSES.key(),
                before.founding().toleratedLosses(),
                after.founding().toleratedLosses());
        compare(changed, SettingsKeys.FOUNDING, foundingSection(before), foundingSection(after));
        return changed;
    }

    private static List<Integer> foundingSection(final Settings settings) {
        final GroupBootstrap founding = settings.founding();
        return List.of(founding.groups(), founding.replicas(), founding.storageNodes());
    }

    private static void compare(
            final List<Finding> changed, final String key, final Object before, final Object after) {
        if (!Objects.equals(before, after)) {
            changed.add(new Finding(
                    "/" + key, "cannot change in a running process (it has " + before + "); restart it for this"));
        }
    }

    /** The settings that the process runs with. */
    public Settings current() {
        return current;
    }

    /** Why the file as it is now was rejected; empty where it was adopted. */
    public List<Finding> findings() {
        return findings;
    }

    @Override
    public String json() {
        return Json.createObjectBuilder()
                .add("file", file == null ? "" : file.toString())
                .add("changesTaken", changesAdopted.get())
                .add("segmentBytes", current.segmentBytes())
                .add("platform", current.platformUrl())
                .add("keptOut", Finding.toJsonArray(findings))
                .build()
                .toString();
    }
}
