package brookpath.tools.datafolder;

import brookpath.state.disk.Disk;
import brookpath.state.disk.DiskFile;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

/** A read-only disk on a data folder, which does not take the lock of the folder. */
record ReadOnlyDisk(Path folder) implements Disk {
    @Override
    public DiskFile open(final String name) {
        return new ReadOnlyFile(folder.resolve(name));
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

    /** A file that stays closed between reads. */
    private record ReadOnlyFile(Path path) implements DiskFile {
        @Override
        public long size() {
            try {
                return Files.size(path);
            } catch (final IOException ex) {
                throw new UncheckedIOException(ex);
            }
        }

        @Override
        public void append(final byte[] bytes, final int off, final int len) {
            throw readOnly();
        }

        @Override
        public int read(final long position, final byte[] target, final int off, final int len) {
            try (InputStream in = Files.newInputStream(path)) {
                in.skipNBytes(position);
                return in.readNBytes(target, off, len);
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
            // nothing is open
        }
    }
}
