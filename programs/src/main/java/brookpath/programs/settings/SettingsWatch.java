package brookpath.programs.settings;

import brookpath.coordination.configuration.Finding;
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
 * Looks after the settings file of a running process. A changed file is read and checked like at a start, and taken
 * whole or not at all: wrong in any way, or with a change that cannot be made while running, it is kept out and its
 * findings are told; the process goes on with what it has.
 */
public final class SettingsWatch implements SettingsReport {
    private final Path file;
    private final String[] args;
    private final boolean controller;
    private final Consumer<Settings> taker;
    private volatile Settings inForce;
    private volatile List<Finding> findings = List.of();
    private final AtomicInteger taken = new AtomicInteger();
    private byte[] judged;
    private byte[] last;

    /** @param args as the process was started; without a settings file among them there is nothing to look after */
    public SettingsWatch(
            final String[] args, final boolean controller, final Settings inForce, final Consumer<Settings> taker) {
        this.args = args;
        this.controller = controller;
        this.inForce = inForce;
        this.taker = taker;
        file = SettingsReader.file(args, controller);
        judged = content();
        last = judged;
    }

    private byte[] content() {
        try {
            return file == null ? null : Files.readAllBytes(file);
        } catch (final IOException ex) {
            return null;
        }
    }

    /** Looked at again and again; true where there was something new to judge. */
    public synchronized boolean look() {
        final byte[] now = content();
        // why: a file that still changes is being written; what it says is judged once it has said the same twice
        final boolean still = Arrays.equals(now, last);
        last = now;
        if (!still || Arrays.equals(now, judged)) {
            return false;
        }
        judged = now;
        judge(
                now == null
                        ? new SettingsReader.Reading(
                                null,
                                List.of(new Finding(file.toString(), "is gone; the next start needs it")),
                                false,
                                false)
                        : SettingsReader.read(args, controller, now));
        return true;
    }

    private void judge(final SettingsReader.Reading reading) {
        final List<Finding> all = new ArrayList<>(reading.findings());
        if (all.isEmpty()) {
            all.addAll(fixed(inForce, reading.settings()));
        }
        findings = List.copyOf(all);
        if (all.isEmpty()) {
            inForce = reading.settings();
            taken.incrementAndGet();
            taker.accept(inForce);
            Logger.info("settings taken: segmentBytes {}, platform {}", inForce.rollBytes(), inForce.platform());
        } else {
            all.forEach(f -> Logger.warn("settings kept out: {}", f));
        }
    }

    /** What differs and cannot be changed in a running process. */
    private static List<Finding> fixed(final Settings was, final Settings is) {
        final List<Finding> list = new ArrayList<>();
        differs(list, "node", was.node(), is.node());
        differs(list, "zone", was.zone(), is.zone());
        differs(list, "role", was.role(), is.role());
        differs(list, "siblings", was.peers(), is.peers());
        differs(list, "reachedAs", was.reachedAs(), is.reachedAs());
        differs(list, "http", was.http(), is.http());
        differs(list, "seeds", was.seeds(), is.seeds());
        differs(list, "data", was.data(), is.data());
        differs(list, "bounds", was.timing(), is.timing());
        differs(list, "toleratedLosses", was.toleratedLosses(), is.toleratedLosses());
        differs(
                list,
                "founding",
                List.of(was.groups(), was.copies(), was.storages()),
                List.of(is.groups(), is.copies(), is.storages()));
        return list;
    }

    private static void differs(final List<Finding> list, final String field, final Object was, final Object is) {
        if (!Objects.equals(was, is)) {
            list.add(new Finding(
                    "/" + field, "cannot change in a running process (it has " + was + "); restart it for this"));
        }
    }

    public Settings inForce() {
        return inForce;
    }

    public List<Finding> findings() {
        return findings;
    }

    @Override
    public String json() {
        return Json.createObjectBuilder()
                .add("file", file == null ? "" : file.toString())
                .add("changesTaken", taken.get())
                .add("segmentBytes", inForce.rollBytes())
                .add("platform", inForce.platform())
                .add("keptOut", Finding.array(findings))
                .build()
                .toString();
    }
}
