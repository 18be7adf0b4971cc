package brookpath.testing;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.LongConsumer;
import java.util.function.LongFunction;

/** Plays independent simulations of one test method in parallel, one for each seed. */
public final class SeedsInParallel {
    private SeedsInParallel() {}

    /**
     * Plays the seeds from {@code first} to {@code last}, both included, and returns the outcomes in the order of the
     * seeds. An assertion that fails in one of them fails the caller.
     */
    public static <T> List<T> play(final long first, final long last, final LongFunction<T> simulation)
            throws InterruptedException {
        final ExecutorService pool = Executors.newFixedThreadPool(TestThreads.COUNT);
        try {
            final List<Future<T>> pending = new ArrayList<>();
            for (long seed = first; seed <= last; seed++) {
                final long played = seed;
                pending.add(pool.submit(() -> simulation.apply(played)));
            }
            final List<T> outcomes = new ArrayList<>();
            for (final Future<T> outcome : pending) {
                outcomes.add(outcome.get());
            }
            return outcomes;
        } catch (final ExecutionException failed) {
            throw new AssertionError(failed.getCause().getMessage(), failed.getCause());
        } finally {
            pool.shutdownNow();
        }
    }

    /** As {@link #play}, for simulations that assert what there is to know and return nothing. */
    public static void check(final long first, final long last, final LongConsumer simulation)
            throws InterruptedException {
        play(first, last, seed -> {
            simulation.accept(seed);
            return seed;
        });
    }
}
