package brookpath.testing;

import brookpath.state.disk.Disk;
import brookpath.state.disk.DiskFile;
import brookpath.testing.disk.FaultyDisk;
import java.util.List;

/** A disk on which the process stops after a given number of operations. */
final class StoppingDisk implements Disk {
    /** Thrown by the operation at which the process stops. */
    static final class StoppedException extends RuntimeException {
        private static final long serialVersionUID = 1L;
    }

    private final FaultyDisk disk = new FaultyDisk();
    private int stepsLeft = Integer.MAX_VALUE;

    /** Lets this many further operations succeed. */
    void stopAfter(final int steps) {
        stepsLeft = steps;
    }

    /** The disk below, which loses power when a test says so. */
    FaultyDisk content() {
        return disk;
    }

    private void step() {
        if (stepsLeft-- <= 0) {
            throw new StoppedException();
        }
    }

    @Override
    public DiskFile open(final String name) {
        step();
        return new StoppingFile(disk.open(name));
    }

    @Override
    public List<String> list() {
        return disk.list();
    }

    @Override
    public void delete(final String name) {
        step();
        disk.delete(name);
    }

    @Override
    public void rename(final String from, final String to) {
        step();
        disk.rename(from, to);
    }

    @Override
    public void syncFolder() {
        step();
        disk.syncFolder();
    }

    private final class StoppingFile implements DiskFile {
        private final DiskFile file;

        StoppingFile(final DiskFile file) {
            this.file = file;
        }

        @Override
        public long size() {
            return file.size();
        }

        @Override
        public void append(final byte[] bytes, final int off, final int len) {
            step();
            file.append(bytes, off, len);
        }

        @Override
        public int read(final long position, final byte[] target, final int off, final int len) {
            return file.read(position, target, off, len);
        }

        @Override
        public void sync() {
            step();
            file.sync();
        }

        @Override
        public void truncate(final long size) {
            step();
            file.truncate(size);
        }

        @Override
        public void close() {
            file.close();
        }
    }
}
