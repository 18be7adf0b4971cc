package brookpath.testing.sim;

import brookpath.state.disk.Disk;
import brookpath.state.disk.DiskFile;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * Writes the data folders that {@code StoredDataTest} reads: one of a controller and one of a storage node, after a
 * clean stop. The only argument is the directory to write to.
 *
 * <p>The checked-in folders were written by release 0.1.0 at commit a7d0cd1, with wire schema version 4, log entries of
 * the kinds 1 to 5 and control log bodies of the kinds 3 to 6. They must not be regenerated, since later releases have
 * to read them; a new format gets additional folders. They were written with
 *
 * <pre>java -cp (test class path of this module) brookpath.testing.sim.StoredDataWriter DIRECTORY</pre>
 */
public final class StoredDataWriter extends ControlScene {
    private static final long SEED = 7;
    private static final int CHANGES = 400;
    private static final long PUBLISH_EVERY_MS = 200;
    private static final long BUSY_MS = 50_000;
    private static final long SETTLE_MS = 8_000;
    private static final int TOPICS = 4;
    private static final int CONTROLLER = 2;
    private static final int STORAGE_NODE = 12;

    public static void main(final String[] args) throws IOException {
        new StoredDataWriter().write(Path.of(args[0]));
    }

    private void write(final Path directory) throws IOException {
        begin(SEED);
        for (int i = 0; i < TOPICS; i++) {
            cluster.callers.publisher("ana", Callers.topic(i), "key-members", PUBLISH_EVERY_MS, 30);
        }
        for (int i = 1; i <= CHANGES; i++) {
            awaitFinalResponse(document(i, "change-" + i), "change-" + i);
        }
        // Elections on both kinds of node, so that the stored terms and votes are not the initial ones.
        restart(leader());
        restart(cluster.processes.get(STORAGE_NODE));
        cluster.run(cluster.now() + BUSY_MS);
        cluster.callers.quiet = true;
        cluster.run(cluster.now() + SETTLE_MS);
        for (final int id : List.of(CONTROLLER, STORAGE_NODE)) {
            cluster.kill(cluster.processes.get(id), false);
        }
        copy(cluster.processes.get(CONTROLLER).disk, directory.resolve("controller"));
        copy(cluster.processes.get(STORAGE_NODE).disk, directory.resolve("storage-node"));
    }

    private void restart(final SimulatedProcess process) {
        cluster.kill(process, false);
        cluster.run(cluster.now() + SETTLE_MS);
        cluster.restart(process);
        cluster.run(cluster.now() + SETTLE_MS);
    }

    private static void copy(final Disk disk, final Path folder) throws IOException {
        Files.createDirectories(folder);
        for (final String name : disk.list()) {
            final DiskFile file = disk.open(name);
            try {
                Files.write(folder.resolve(name), file.readAll());
            } finally {
                file.close();
            }
        }
    }
}
