package brookpath.testing;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.LongConsumer;
import java.util.function.LongFunction;

/** Runs independent simulations of one test method in parallel, one for each seed. */
public final class SeedsInParallel {
    private SeedsInParallel() {}

    /**
     * Runs the simulation with the seeds from {@code first} to {@code last}, inclusive, and returns the outcomes in the
     * order of the seeds. A failed assertion in one of the runs fails the caller.
     */
    public static <T> List<T> play(final long first, final long last, final LongFunction<T> simulation)
            throws InterruptedException {
        final ExecutorService pool = Executors.newFixedThreadPool(TestThreads.COUNT);
        try {
            final List<Future<T>> pending = new ArrayList<>();
            for (long seed = first; seed <= last; seed++) {
                final long current = seed;
                pending.add(pool.submit(() -> simulation.apply(current)));
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

    /** As {@link #play}, for simulations that make their own assertions and return nothing. */
    public static void check(final long first, final long last, final LongConsumer simulation)
            throws InterruptedException {
        play(first, last, seed -> {
            simulation.accept(seed);
            return seed;
        });
    }
}
