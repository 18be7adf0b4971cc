package brookpath.testing.fleet;

import static java.util.concurrent.TimeUnit.MICROSECONDS;
import static java.util.concurrent.TimeUnit.MILLISECONDS;

import brookpath.testing.oracle.History;
import java.net.http.HttpClient;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Predicate;

/** Simulated callers over HTTP at the rates of a load profile, checked by the simulator's oracle. */
public final class CallerLoad implements AutoCloseable {
    private static final int TIMER_THREADS = 2;
    private static final long READINESS_PERIOD_MS = 250;
    private static final long SUBSCRIBE_SPACING_MS = 5;
    private static final int SETTLE_POLLS = 200;
    private static final long SETTLE_POLL_MS = 100;
    private static final long FINAL_DELIVERIES_MS = 2_500;
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long MICROS_PER_SECOND = 1_000_000;

    private final LoadProfile profile;
    private final History history = new History();
    private final RemovedKeys keys = new RemovedKeys(history);
    private final Measurements measurements = new Measurements();
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(TIMER_THREADS);
    private final SplittableRandom random;
    private final List<Subscriber> subscribers = new ArrayList<>();
    private final CallerContext context;
    private final Publisher publisher;
    private final long startedAtNanos = System.nanoTime();

    /**
     * @param seed determines what is published and subscribed, but not the timing, which is that of the real machine
     */
    public CallerLoad(final Fleet fleet, final LoadProfile profile, final long seed) {
        this.profile = profile;
        random = new SplittableRandom(seed);
        final ReadyGateways gateways = new ReadyGateways(fleet, random.split());
        final HttpClient http = HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(Duration.ofSeconds(1))
                .build();
        context = new CallerContext(http, timer, gateways, history, keys, measurements, this::clock);
        publisher = new Publisher(context, profile, random.split());
        timer.scheduleWithFixedDelay(gateways::refresh, 0, READINESS_PERIOD_MS, MILLISECONDS);
    }

    /** Milliseconds since the run began. */
    public long clock() {
        return (System.nanoTime() - startedAtNanos) / NANOS_PER_MILLI;
    }

    /** Records that the removal of the key was confirmed to an operator. */
    public void removalConfirmed(final String key) {
        keys.removalConfirmed(key, clock());
    }

    /** Records that a change granting the key again was submitted: it may take effect even if no response arrives. */
    public void grantSubmitted(final String key) {
        keys.grantSubmitted(key);
    }

    /** The oracle, for further checks; guarded by its own monitor. */
    public History history() {
        return history;
    }

    /** Opens the profile's sessions, each subscribed to two topics. */
    public void subscribe() {
        for (int i = 0; i < profile.sessions(); i++) {
            final Set<String> topics = new LinkedHashSet<>();
            topics.add(profile.topic(i % profile.topics()));
            topics.add(profile.topic(random.nextInt(profile.topics())));
            final Subscriber subscriber = new Subscriber(context, publisher, "session-" + i, profile.key(i), topics);
            subscribers.add(subscriber);
            timer.schedule(subscriber::connect, i * SUBSCRIBE_SPACING_MS, MILLISECONDS);
        }
    }

    /** The number of sessions that receive messages. */
    public int listening() {
        return (int) subscribers.stream().filter(Subscriber::isListening).count();
    }

    /** Starts publishing at the profile's rate. */
    public void publish() {
        final long periodMicros = (long) (MICROS_PER_SECOND / profile.perSecond());
        timer.scheduleAtFixedRate(publisher::publishOne, periodMicros, periodMicros, MICROSECONDS);
    }

    /** Resets the latencies so far, so that the warm-up is not measured. */
    public void startMeasuring() {
        measurements.reset();
    }

    /** Milliseconds from the given time to the next commit on an affected topic; -1 if there was none. */
    public long gapAfter(final long time, final Predicate<String> affected) {
        return measurements.gapAfter(time, affected);
    }

    /** Stops publishing, waits for the outstanding publishes and deliveries, and checks the history. */
    public History settle() throws InterruptedException {
        publisher.stop();
        for (int i = 0; i < SETTLE_POLLS && publisher.inFlight() > 0; i++) {
            Thread.sleep(SETTLE_POLL_MS);
        }
        Thread.sleep(FINAL_DELIVERIES_MS);
        synchronized (history) {
            history.settle(clock());
        }
        return history;
    }

    /** Checks the usage reports of each tenant against the messages that its senders published. */
    public void settleUsage() {
        synchronized (history) {
            for (int tenant = 0; tenant < profile.tenants(); tenant++) {
                final String key = profile.keyOfTenant(tenant);
                history.usage.settle(
                        clock(), "tenant-" + tenant, message -> keyOf(message).equals(key));
            }
        }
    }

    private String keyOf(final History.Sent message) {
        return profile.key(Integer.parseInt(message.sender.substring(1)));
    }

    /** The measurements, formatted as one line. */
    public String report() {
        return measurements.report(profile.name(), history.committed(), history.delivered());
    }

    @Override
    public void close() {
        timer.shutdownNow();
    }
}
