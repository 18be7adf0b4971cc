package brookpath.tools.datafolder;

import brookpath.state.disk.Disk;
import brookpath.state.disk.DiskFile;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

/** A read-only disk on a data folder, which does not take the lock of the folder. */
record ReadOnlyDisk(Path folder) implements Disk {
    @Override
    public DiskFile open(final String name) {
        return new DiskFile() {
            @Override
            public long size() {
                return readAll().length;
            }

            @Override
            public void append(final byte[] bytes, final int off, final int len) {
                throw readOnly();
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
                throw readOnly();
            }

            @Override
            public void truncate(final long size) {
                throw readOnly();
            }

            @Override
            public void close() {
                // no file stays open between reads
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
        throw readOnly();
    }

    @Override
    public void rename(final String from, final String to) {
        throw readOnly();
    }

    @Override
    public void syncFolder() {
        throw readOnly();
    }

    private static UnsupportedOperationException readOnly() {
        return new UnsupportedOperationException("the data folder is read-only");
    }
}
