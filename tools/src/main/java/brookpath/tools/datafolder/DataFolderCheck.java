package brookpath.tools.datafolder;

import brookpath.coordination.configuration.StoredConfiguration;
import brookpath.coordination.controllog.ControlState;
import brookpath.coordination.group.GroupMachine;
import brookpath.state.record.LogRecord;
import brookpath.state.wal.WriteAheadLog;
import brookpath.tools.cli.CommandLineTool;
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
 * Checks data folders that no process is using, without changing them; given several, it also checks whether their
 * replicas agree.
 */
public final class DataFolderCheck {
    private static final String TOOL = "data-folder-check";
    private static final String FLAG_PREFIX = "-";
    private static final long NEWEST = Long.MAX_VALUE;

    private final PrintStream out;
    private final List<String> findings = new ArrayList<>();
    private final Map<String, TreeMap<Integer, GroupMachine>> groupsByFolder = new LinkedHashMap<>();

    private DataFolderCheck(final PrintStream out) {
        this.out = out;
    }

    /** Runs the tool and exits with its code. */
    public static void main(final String[] args) {
        System.exit(run(args, System.out, System.err));
    }

    /**
     * Returns the exit code: {@link CommandLineTool#OK} for undamaged folders that agree,
     * {@link CommandLineTool#INCOMPLETE} where something is damaged, differs or cannot be read (the rest is checked),
     * {@link CommandLineTool#WRONG_ARGUMENTS}.
     */
    public static int run(final String[] args, final PrintStream out, final PrintStream err) {
        final List<String> flags =
                Stream.of(args).filter(arg -> arg.startsWith(FLAG_PREFIX)).toList();
        flags.forEach(flag -> err.println(TOOL + ": " + flag + ": this tool has no options"));
        if (args.length == 0 || !flags.isEmpty()) {
            err.println("usage: " + TOOL + " DATA-FOLDER...");
            return CommandLineTool.WRONG_ARGUMENTS;
        }
        final DataFolderCheck check = new DataFolderCheck(out);
        Stream.of(args).map(Path::of).forEach(check::checkFolder);
        check.compareFolders();
        check.findings.forEach(finding -> err.println(TOOL + ": " + finding));
        return check.findings.isEmpty() ? CommandLineTool.OK : CommandLineTool.INCOMPLETE;
    }

    private void checkFolder(final Path folder) {
        if (!Files.isDirectory(folder)) {
            findings.add(folder + ": no such folder");
            return;
        }
        out.println("folder " + folder);
        final List<String> folderFindings = new ArrayList<>();
        try {
            final WriteAheadLog.Inspection log = WriteAheadLog.inspect(new ReadOnlyDisk(folder));
            folderFindings.addAll(log.findings());
            printLog(log);
            final TreeMap<Integer, GroupMachine> groups = StoredGroups.replay(log.allEntries(), folderFindings);
            groups.forEach((id, group) -> checkGroup(id, group, folderFindings));
            groupsByFolder.put(folder.toString(), groups);
        } catch (final UncheckedIOException ex) {
            folderFindings.add(ex.getMessage());
        }
        folderFindings.forEach(finding -> findings.add(folder + ": " + finding));
    }

    private void printLog(final WriteAheadLog.Inspection log) {
        final String snapshot =
                log.snapshotName().isEmpty() ? "none" : log.snapshotName() + " of " + log.snapshotBytes() + " bytes";
        out.println("snapshot " + snapshot + ", segment " + log.segmentName() + " with "
                + log.entries().size() + " entries");
    }

    private void checkGroup(final int id, final GroupMachine group, final List<String> folderFindings) {
        printGroup(id, group);
        for (long index = group.baseIndex() + 1; index <= group.endIndex(); index++) {
            if (!group.logRecord(index).isIntact()) {
                folderFindings.add("group " + id + ": record " + index + " does not match its checksum");
            }
        }
    }

    private void printGroup(final int id, final GroupMachine group) {
        out.println("group " + id + ": epoch " + group.term() + ", records " + (group.baseIndex() + 1) + " to "
                + group.endIndex() + ", publishes " + publishes(group)
                + (group.lost() ? ", lost: being rebuilt" : "") + ", group version "
                + group.membership().version());
        if (group.live() instanceof ControlState state) {
            final StoredConfiguration newest = state.configurationAt(NEWEST);
            out.println("  configuration " + newest.version() + " ("
                    + newest.configuration().changeId() + "), cluster metadata "
                    + state.metadataAt(NEWEST).version() + ", newest usage window " + state.lastWindow());
        }
    }

    private static int publishes(final GroupMachine group) {
        int publishes = 0;
        for (long index = group.baseIndex() + 1; index <= group.endIndex(); index++) {
            if (group.logRecord(index).kind() == LogRecord.PUBLISH) {
                publishes++;
            }
        }
        return publishes;
    }

    private void compareFolders() {
        final List<String> folders = new ArrayList<>(groupsByFolder.keySet());
        for (int i = 0; i < folders.size(); i++) {
            for (int j = i + 1; j < folders.size(); j++) {
                compareFolders(folders.get(i), folders.get(j));
            }
        }
    }

    private void compareFolders(final String first, final String second) {
        groupsByFolder.get(first).forEach((id, replica) -> {
            final GroupMachine other = groupsByFolder.get(second).get(id);
            if (other != null && !replica.lost() && !other.lost()) {
                compareReplicas(id, first, second, new ReplicaComparison(replica, other));
            }
        });
    }

    private void compareReplicas(
            final int id, final String first, final String second, final ReplicaComparison comparison) {
        final long contradiction = comparison.indexOfContradiction();
        if (contradiction > 0) {
            findings.add("group " + id + ": " + first + " and " + second + " differ at or before record "
                    + contradiction + " of the same epoch");
        }
        out.println("group " + id + ": " + comparison.describe(first, second));
    }
}
