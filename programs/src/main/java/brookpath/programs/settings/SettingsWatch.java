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
 * completely or not at all: if it has any error, or changes a setting that cannot change in a running process, its
 * findings are reported and the process keeps its current settings.
 *
 * <p>One thread calls {@link #checkFile}; any thread may call the other methods.
 */
public final class SettingsWatch implements SettingsReport {
    private final Path file;
    private final String[] args;
    private final Program program;
    private final Consumer<Settings> onChange;
    private final AtomicInteger changesAdopted = new AtomicInteger();
    private volatile Settings current;
    private volatile List<Finding> findings = List.of();
    private byte[] evaluatedContent;
    private byte[] lastContent;

    /**
     * @param args the command-line arguments of the process; if they name no settings file, nothing is watched
     * @param current the settings with which the process was started
     * @param onChange called with the settings of each adopted change, on the thread that calls {@link #checkFile}
     */
    public SettingsWatch(
            final String[] args, final Program program, final Settings current, final Consumer<Settings> onChange) {
        this.args = args;
        this.program = program;
        this.current = current;
        this.onChange = onChange;
        file = SettingsReader.file(args, program);
        evaluatedContent = readFile();
        lastContent = evaluatedContent;
    }

    /** The content of the file; null if there is no file or it cannot be read. */
    private byte[] readFile() {
        try {
            return file == null ? null : Files.readAllBytes(file);
        } catch (final IOException ex) {
            return null;
        }
    }

    /** Checks the file for a change, to be called periodically; true if a new content was evaluated. */
    public synchronized boolean checkFile() {
        final byte[] content = readFile();
        // A file that keeps changing is still being written; it is evaluated once two checks read the same content.
        final boolean stable = Arrays.equals(content, lastContent);
        lastContent = content;
        if (!stable || Arrays.equals(content, evaluatedContent)) {
            return false;
        }
        evaluatedContent = content;
        evaluate(
                content == null
                        ? SettingsReader.Reading.failed(
                                file.toString(), "missing or unreadable; the next start needs it")
                        : SettingsReader.read(args, program, content));
        return true;
    }

    private void evaluate(final SettingsReader.Reading reading) {
        reading.warnings().forEach(warning -> Logger.warn("settings: {}", warning));
        final List<Finding> reasons = new ArrayList<>(reading.findings());
        if (reasons.isEmpty()) {
            reasons.addAll(changedFixedSettings(current, reading.settings()));
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

    /** The settings that differ but cannot change in a running process. */
    private static List<Finding> changedFixedSettings(final Settings before, final Settings after) {
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
                    "/" + key, "cannot change in a running process (current value: " + before + "); restart to apply"));
        }
    }

    /** The current settings of the process. */
    public Settings current() {
        return current;
    }

    /** Why the file was rejected when it was last evaluated; empty if it was adopted. */
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
