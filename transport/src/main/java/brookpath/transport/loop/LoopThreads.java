package brookpath.transport.loop;

import java.util.ArrayList;
import java.util.List;
import org.tinylog.Logger;

/**
 * The threads of a host: named, started here, and interrupted and joined when the host is closed. If one fails, the
 * given handler ends the process.
 */
final class LoopThreads {
    /** How long to wait for all threads together to end. An fsync may take longer, which is not waited for. */
    private static final long JOIN_TIMEOUT_MS = 500;

    private final Runnable fatal;
    private final List<Thread> threads = new ArrayList<>();
    private volatile boolean closed;

    /** @param fatal called on the thread that failed */
    LoopThreads(final Runnable fatal) {
        this.fatal = fatal;
    }

    void start(final String name, final Runnable body) {
        final Thread thread = new Thread(() -> run(name, body), name);
        thread.setDaemon(true);
        threads.add(thread);
        thread.start();
    }

    private void run(final String name, final Runnable body) {
        try {
            body.run();
        } catch (final Throwable ex) {
            if (!closed) {
                Logger.error(ex, "thread {} failed", name);
                fatal.run();
            }
        }
    }

    /** Whether the loops must end. */
    boolean closed() {
        return closed;
    }

    /** Interrupts all threads, so that they end. */
    void interrupt() {
        closed = true;
        threads.forEach(Thread::interrupt);
    }

    /** Waits for the threads to end, up to the time limit; does not wait for the calling thread. */
    void join() {
        final long deadlineMs = SystemClock.monotonicMs() + JOIN_TIMEOUT_MS;
        try {
            for (final Thread thread : threads) {
                final long remainingMs = deadlineMs - SystemClock.monotonicMs();
                if (remainingMs > 0 && thread != Thread.currentThread()) {
                    thread.join(remainingMs);
                }
            }
        } catch (final InterruptedException ex) {
            Thread.currentThread().interrupt();
        }
    }
}
