package brookpath.tools.creelcheck;

import static brookpath.coordination.node.StorageNode.DROP;

import brookpath.coordination.Tempo;
import brookpath.coordination.action.Actions;
import brookpath.coordination.beat.Pledges;
import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.node.BailiffNode;
import brookpath.coordination.spec.ControlState;
import brookpath.coordination.topic.TopicState;
import brookpath.state.disk.Disk;
import brookpath.state.disk.DiskFile;
import brookpath.state.record.Pack;
import brookpath.state.record.Rec;
import brookpath.state.spool.Spool;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.stream.Stream;

/** Looks a data folder over while no process uses it, and changes nothing in it. */
public final class CreelCheck {
    private CreelCheck() {
    }

    public static void main(final String[] args) {
        System.exit(run(args, System.out, System.err));
    }

    /** 0 for a whole folder, 1 where something is damaged or cannot be read, 2 for wrong arguments. */
    public static int run(final String[] args, final PrintStream out, final PrintStream err) {
        if (args.length != 1 || args[0].startsWith("-")) {
            err.println("usage: creel-check DATA-FOLDER");
            return 2;
        }
        final Path folder = Path.of(args[0]);
        if (!Files.isDirectory(folder)) {
            err.println("creel-check: " + folder + ": no such folder");
            return 1;
        }
        final List<String> findings = new ArrayList<>();
        try {
            final Spool.Inspection found = Spool.inspect(new ReadOnly(folder));
            findings.addAll(found.findings());
            out.println("snapshot " + (found.snapshot() == null ? "none" : found.snapshotName() + " of " + found.snapshot().length + " bytes")
                    + ", segment " + found.segmentName() + " with " + found.entries().size() + " entries");
            groups(found.replayed(), findings).forEach((id, g) -> tell(out, id, g));
        } catch (final UncheckedIOException ex) {
            findings.add(folder + ": " + ex.getMessage());
        }
        findings.forEach(f -> err.println("creel-check: " + f));
        return findings.isEmpty() ? 0 : 1;
    }

    private static TreeMap<Integer, GroupMachine> groups(final List<byte[]> entries, final List<String> findings) {
        final TreeMap<Integer, GroupMachine> groups = new TreeMap<>();
        int n = 0;
        for (final byte[] entry : entries) {
            n++;
            try {
                final Pack in = Pack.reader(entry);
                final int id = (int) in.num();
                if (Pack.reader(entry).skip(8).num() == DROP) {
                    groups.remove(id);
                    continue;
                }
                groups.computeIfAbsent(id, k -> new GroupMachine(id, 0, Tempo.DEFAULT, 1, 0, () -> id == BailiffNode.CONTROL ? new ControlState()
                        : new TopicState(t -> Long.MAX_VALUE, Tempo.DEFAULT.windowMs()), new Pledges(0), new Actions())).replay(in, 0);
            } catch (final RuntimeException ex) {
                findings.add("entry " + n + ": cannot be replayed: " + ex.getMessage());
            }
        }
        return groups;
    }

    private static void tell(final PrintStream out, final int id, final GroupMachine g) {
        final TreeMap<Integer, Integer> kinds = new TreeMap<>();
        for (long lsn = g.baseLsn() + 1; lsn <= g.endLsn(); lsn++) {
            kinds.merge(g.rec(lsn).kind(), 1, Integer::sum);
        }
        out.println("group " + id + ": epoch " + g.epoch() + ", records " + (g.baseLsn() + 1) + " to " + g.endLsn() + ", publishes "
                + kinds.getOrDefault(Rec.PUBLISH, 0) + (g.lost() ? ", lost: is being rebuilt" : "") + ", group version " + g.membership().version());
        if (g.live() instanceof ControlState c) {
            final ControlState.SpecAt at = c.specAt(Long.MAX_VALUE);
            out.println("  spec " + at.version() + " (" + at.spec().changeId() + "), roster " + c.rosterAt(Long.MAX_VALUE).version()
                    + ", newest usage window " + c.lastWindow());
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
                    // why: nothing is held
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
