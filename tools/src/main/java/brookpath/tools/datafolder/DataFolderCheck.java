package brookpath.tools.datafolder;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.action.Actions;
import brookpath.coordination.configuration.StoredConfiguration;
import brookpath.coordination.controllog.ControlState;
import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.heartbeat.HeartbeatPromises;
import brookpath.coordination.node.ControllerNode;
import brookpath.coordination.node.storage.TopicGroups;
import brookpath.coordination.topic.TopicState;
import brookpath.state.disk.Disk;
import brookpath.state.disk.DiskFile;
import brookpath.state.record.LogRecord;
import brookpath.state.record.PackedBuffer;
import brookpath.state.wal.WriteAheadLog;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * Looks data folders over while no process uses them, and changes nothing in them; of several it tells whether their
 * copies agree.
 */
public final class DataFolderCheck {
    private DataFolderCheck() {}

    public static void main(final String[] args) {
        System.exit(run(args, System.out, System.err));
    }

    /**
     * 0 for whole folders that agree, 1 where something is damaged, differs or cannot be read (the rest is told), 2 for
     * wrong arguments.
     */
    public static int run(final String[] args, final PrintStream out, final PrintStream err) {
        final List<String> findings = new ArrayList<>();
        for (final String arg : args) {
            if (arg.startsWith("-")) {
                err.println("data-folder-check: " + arg + ": there are no flags");
            }
        }
        if (args.length == 0 || Stream.of(args).anyMatch(a -> a.startsWith("-"))) {
            err.println("usage: data-folder-check DATA-FOLDER...");
            return 2;
        }
        final Map<String, TreeMap<Integer, GroupMachine>> folders = new LinkedHashMap<>();
        for (final String arg : args) {
            folder(Path.of(arg), folders, findings, out);
        }
        final List<String> names = new ArrayList<>(folders.keySet());
        for (int i = 0; i < names.size(); i++) {
            for (int k = i + 1; k < names.size(); k++) {
                compare(
                        names.get(i),
                        folders.get(names.get(i)),
                        names.get(k),
                        folders.get(names.get(k)),
                        findings,
                        out);
            }
        }
        findings.forEach(f -> err.println("data-folder-check: " + f));
        return findings.isEmpty() ? 0 : 1;
    }

    private static void folder(
            final Path folder,
            final Map<String, TreeMap<Integer, GroupMachine>> folders,
            final List<String> all,
            final PrintStream out) {
        if (!Files.isDirectory(folder)) {
            all.add(folder + ": no such folder");
            return;
        }
        final List<String> findings = new ArrayList<>();
        out.println("folder " + folder);
        try {
            final WriteAheadLog.Inspection found = WriteAheadLog.inspect(new ReadOnly(folder));
            findings.addAll(found.findings());
            out.println("snapshot "
                    + (found.snapshot() == null
                            ? "none"
                            : found.snapshotName() + " of " + found.snapshot().length + " bytes")
                    + ", segment " + found.segmentName() + " with "
                    + found.entries().size() + " entries");
            final TreeMap<Integer, GroupMachine> groups = groups(found.replayed(), findings);
            groups.forEach((id, g) -> {
                tell(out, id, g);
                for (long index = g.baseIndex() + 1; index <= g.endIndex(); index++) {
                    if (!g.logRecord(index).whole()) {
                        findings.add("group " + id + ": record " + index + " does not fit its checksum");
                    }
                }
            });
            folders.put(folder.toString(), groups);
        } catch (final UncheckedIOException ex) {
            findings.add(ex.getMessage());
        }
        findings.forEach(f -> all.add(folder + ": " + f));
    }

    /** The same (term, index) must mean the same log up to there; a tail of another term is what a start would cut. */
    private static void compare(
            final String a,
            final TreeMap<Integer, GroupMachine> as,
            final String b,
            final TreeMap<Integer, GroupMachine> bs,
            final List<String> findings,
            final PrintStream out) {
        for (final Integer id : as.keySet()) {
            final GroupMachine x = as.get(id);
            final GroupMachine y = bs.get(id);
            if (y == null || x.lost() || y.lost()) {
                continue;
            }
            long same = 0;
            long index = Math.max(x.baseIndex(), y.baseIndex()) + 1;
            for (;
                    index <= Math.min(x.endIndex(), y.endIndex())
                            && x.logRecord(index).term() == y.logRecord(index).term();
                    index++) {
                if (x.chainAt(index) != y.chainAt(index)) {
                    findings.add("group " + id + ": " + a + " and " + b + " differ at or before record " + index
                            + " of the same epoch");
                    break;
                }
                same++;
            }
            if (index <= Math.min(x.endIndex(), y.endIndex())
                    && x.logRecord(index).term() != y.logRecord(index).term()) {
                out.println("group " + id + ": " + a + " and " + b + " part at record " + index + ", epochs "
                        + x.logRecord(index).term() + " and "
                        + y.logRecord(index).term()
                        + "; the older tail was not accepted and is cut at its start");
            } else {
                out.println("group " + id + ": " + a + " and " + b + " agree on " + same + " records, ends "
                        + x.endIndex() + " and " + y.endIndex());
            }
        }
    }

    private static TreeMap<Integer, GroupMachine> groups(final List<byte[]> entries, final List<String> findings) {
        final TreeMap<Integer, GroupMachine> groups = new TreeMap<>();
        int n = 0;
        for (final byte[] entry : entries) {
            n++;
            try {
                final PackedBuffer in = PackedBuffer.reader(entry);
                final int id = (int) in.num();
                if (TopicGroups.isDropped(entry)) {
                    groups.remove(id);
                    continue;
                }
                groups.computeIfAbsent(
                                id,
                                k -> new GroupMachine(
                                        id,
                                        0,
                                        TimingBounds.DEFAULT,
                                        1,
                                        0,
                                        () -> id == ControllerNode.CONTROL
                                                ? new ControlState()
                                                : new TopicState(t -> Long.MAX_VALUE, TimingBounds.DEFAULT.windowMs()),
                                        new HeartbeatPromises(0),
                                        new Actions()))
                        .replay(in, 0);
            } catch (final RuntimeException ex) {
                findings.add("entry " + n + ": cannot be replayed: " + ex.getMessage());
            }
        }
        return groups;
    }

    private static void tell(final PrintStream out, final int id, final GroupMachine g) {
        final TreeMap<Integer, Integer> kinds = new TreeMap<>();
        for (long index = g.baseIndex() + 1; index <= g.endIndex(); index++) {
            kinds.merge(g.logRecord(index).kind(), 1, Integer::sum);
        }
        out.println("group " + id + ": epoch " + g.term() + ", records " + (g.baseIndex() + 1) + " to " + g.endIndex()
                + ", publishes " + kinds.getOrDefault(LogRecord.PUBLISH, 0)
                + (g.lost() ? ", lost: is being rebuilt" : "")
                + ", group version " + g.membership().version());
        if (g.live() instanceof ControlState c) {
            final StoredConfiguration at = c.configurationAt(Long.MAX_VALUE);
            out.println("  spec " + at.version() + " (" + at.configuration().changeId() + "), roster "
                    + c.metadataAt(Long.MAX_VALUE).version() + ", newest usage window " + c.lastWindow());
        }
    }

    /** The folder as a disk that can only be read, without its lock. */
    private record ReadOnly(Path folder) implements Disk {
        @Override
        public DiskFile open(final String name) {
            return new DiskFile() {
                @Override
                public long size() {
                    return readAll().length;
                }

                @Override
                public void append(final byte[] bytes, final int off, final int len) {
                    throw new UnsupportedOperationException("read only");
                }

                @Override
                public byte[] readAll() {
                    try {
                        return Files.readAllBytes(folder.resolve(name));
                    } catch (final IOException ex) {
                        throw new UncheckedIOException(ex);
                    }
                }

                @Override
                public void sync() {
                    throw new UnsupportedOperationException("read only");
                }

                @Override
                public void truncate(final long size) {
                    throw new UnsupportedOperationException("read only");
                }

                @Override
                public void close() {
                    // nothing is held
                }
            };
        }

        @Override
        public List<String> list() {
            try (Stream<Path> paths = Files.list(folder)) {
                return paths.map(p -> p.getFileName().toString()).sorted().toList();
            } catch (final IOException ex) {
                throw new UncheckedIOException(ex);
            }
        }

        @Override
        public void delete(final String name) {
            throw new UnsupportedOperationException("read only");
        }

        @Override
        public void rename(final String from, final String to) {
            throw new UnsupportedOperationException("read only");
        }

        @Override
        public void syncFolder() {
            throw new UnsupportedOperationException("read only");
        }
    }
}
