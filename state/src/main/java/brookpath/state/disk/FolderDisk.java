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

/** A {@link Disk} in a folder of the file system. Locks the folder, so that no two processes use it at once. */
public final class FolderDisk implements Disk, AutoCloseable {
    private static final String LOCK_FILE = "lock";

    private final Path folder;
    private final FileChannel lockChannel;
    private final FileLock lock;

    /** Creates the folder if it does not exist; throws {@link DataFolderInUseException} if it is already locked. */
    public FolderDisk(final Path folder) {
        try {
            this.folder = Files.createDirectories(folder);
            lockChannel = FileChannel.open(folder.resolve(LOCK_FILE), CREATE, WRITE);
            lock = lockChannel.tryLock();
        } catch (final IOException ex) {
            throw new UncheckedIOException(ex);
        }
        if (lock == null) {
            throw new DataFolderInUseException("data folder " + folder + " is in use by another process");
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
                    .filter(n -> !n.equals(LOCK_FILE))
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
        // A power loss undoes the creation or renaming of a file unless its folder has been synced.
        try (FileChannel channel = FileChannel.open(folder, READ)) {
            channel.force(true);
        } catch (final IOException ex) {
            throw new UncheckedIOException(ex);
        }
    }

    @Override
    public void close() {
        try {
            lock.release();
            lockChannel.close();
        } catch (final IOException ex) {
            throw new UncheckedIOException(ex);
        }
    }

    private static final class ChannelFile implements DiskFile {
        private final FileChannel channel;
        /** The offset of the next append; negative until it is read from the channel. */
        private long endOffset = -1;

        ChannelFile(final FileChannel channel) {
            this.channel = channel;
        }

        @Override
        public long size() {
            try {
                return channel.size();
            } catch (final IOException ex) {
                throw new UncheckedIOException(ex);
            }
        }

        @Override
        public void append(final byte[] bytes, final int off, final int len) {
            try {
                final ByteBuffer buffer = ByteBuffer.wrap(bytes, off, len);
                endOffset = endOffset < 0 ? channel.size() : endOffset;
                while (buffer.hasRemaining()) {
                    endOffset += channel.write(buffer, endOffset);
                }
            } catch (final IOException ex) {
                throw DiskFullException.ofWrite(ex);
            }
        }

        @Override
        public int read(final long position, final byte[] target, final int off, final int len) {
            try {
                final ByteBuffer buffer = ByteBuffer.wrap(target, off, len);
                int read = 0;
                while (read < len) {
                    final int count = channel.read(buffer, position + read);
                    if (count < 0) {
                        break;
                    }
                    read += count;
                }
                return read;
            } catch (final IOException ex) {
                throw new UncheckedIOException(ex);
            }
        }

        @Override
        public void sync() {
            try {
                channel.force(false);
            } catch (final IOException ex) {
                throw new UncheckedIOException(ex);
            }
        }

        @Override
        public void truncate(final long size) {
            try {
                channel.truncate(size);
                endOffset = size;
            } catch (final IOException ex) {
                throw new UncheckedIOException(ex);
            }
        }

        @Override
        public void close() {
            try {
                channel.close();
            } catch (final IOException ex) {
                throw new UncheckedIOException(ex);
            }
        }
    }
}
