package brookpath.state.disk;

import static java.nio.file.StandardCopyOption.ATOMIC_MOVE;
import static java.nio.file.StandardOpenOption.CREATE;
import static java.nio.file.StandardOpenOption.READ;
import static java.nio.file.StandardOpenOption.WRITE;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

/** A real folder. Holds a lock on it, so that two processes never share one. */
public final class FolderDisk implements Disk, AutoCloseable {
    private final Path folder;
    private final FileChannel lockCh;
    private final FileLock lock;

    public FolderDisk(final Path folder) {
        try {
            this.folder = Files.createDirectories(folder);
            lockCh = FileChannel.open(folder.resolve("lock"), CREATE, WRITE);
            lock = lockCh.tryLock();
        } catch (final IOException ex) {
            throw new UncheckedIOException(ex);
        }
        if (lock == null) {
            throw new IllegalStateException("data folder " + folder + " is in use by another process");
        }
    }

    @Override
    public DiskFile open(final String name) {
        try {
            return new ChannelFile(FileChannel.open(folder.resolve(name), CREATE, READ, WRITE));
        } catch (final IOException ex) {
            throw DiskFullException.ofWrite(ex);
        }
    }

    @Override
    public List<String> list() {
        try (Stream<Path> paths = Files.list(folder)) {
            return paths.map(p -> p.getFileName().toString())
                    .filter(n -> !n.equals("lock"))
                    .sorted()
                    .toList();
        } catch (final IOException ex) {
            throw new UncheckedIOException(ex);
        }
    }

    @Override
    public void delete(final String name) {
        try {
            Files.deleteIfExists(folder.resolve(name));
        } catch (final IOException ex) {
            throw new UncheckedIOException(ex);
        }
    }

    @Override
    public void rename(final String from, final String to) {
        try {
            Files.move(folder.resolve(from), folder.resolve(to), ATOMIC_MOVE);
        } catch (final IOException ex) {
            throw DiskFullException.ofWrite(ex);
        }
    }

    @Override
    public void syncFolder() {
        // why: a new or renamed name is lost with power unless its folder is synced too
        try (FileChannel ch = FileChannel.open(folder, READ)) {
            ch.force(true);
        } catch (final IOException ex) {
            throw new UncheckedIOException(ex);
        }
    }

    @Override
    public void close() {
        try {
            lock.release();
            lockCh.close();
        } catch (final IOException ex) {
            throw new UncheckedIOException(ex);
        }
    }

    private static final class ChannelFile implements DiskFile {
        private final FileChannel ch;
        private long end = -1;

        ChannelFile(final FileChannel ch) {
            this.ch = ch;
        }

        @Override
        public long size() {
            try {
                return ch.size();
            } catch (final IOException ex) {
                throw new UncheckedIOException(ex);
            }
        }

        @Override
        public void append(final byte[] bytes, final int off, final int len) {
            try {
                final ByteBuffer buf = ByteBuffer.wrap(bytes, off, len);
                end = end < 0 ? ch.size() : end;
                while (buf.hasRemaining()) {
                    end += ch.write(buf, end);
                }
            } catch (final IOException ex) {
                throw DiskFullException.ofWrite(ex);
            }
        }

        @Override
        public byte[] readAll() {
            try {
                final ByteBuffer buf = ByteBuffer.allocate((int) ch.size());
                while (buf.hasRemaining() && ch.read(buf, buf.position()) >= 0) {}

                return buf.array();
            } catch (final IOException ex) {
                throw new UncheckedIOException(ex);
            }
        }

        @Override
        public void sync() {
            try {
                ch.force(false);
            } catch (final IOException ex) {
                throw new UncheckedIOException(ex);
            }
        }

        @Override
        public void truncate(final long size) {
            try {
                ch.truncate(size);
                end = size;
            } catch (final IOException ex) {
                throw new UncheckedIOException(ex);
            }
        }

        @Override
        public void close() {
            try {
                ch.close();
            } catch (final IOException ex) {
                throw new UncheckedIOException(ex);
            }
        }
    }
}
