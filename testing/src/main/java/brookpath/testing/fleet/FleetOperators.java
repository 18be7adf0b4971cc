package brookpath.testing.fleet;

import jakarta.json.JsonObject;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

/** Simulated operators who submit one or two changes at a time, some of them invalid, and check the outcomes. */
final class FleetOperators implements AutoCloseable {
    private static final int CONTROLLERS = 3;
    private static final int MAX_ATTEMPTS = 60;
    private static final int MAX_READ_ATTEMPTS = 50;
    private static final long RETRY_MS = 200;
    private static final long PERIOD_MS = 2_500;
    private static final long SEED = 7;
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int SERVER_ERROR = 500;

    /**
     * A change that an operator submits.
     *
     * @param withRevocableKey whether it contains the key that is revoked and restored
     * @param invalid whether it must be refused
     * @param firstController the controller to which it is submitted first
     */
    private record Change(String id, long basedOn, boolean withRevocableKey, boolean invalid, int firstController) {}

    private final Fleet fleet;
    private final CallerLoad load;
    private final LoadProfile profile;
    private final Consumer<String> counter;
    private final AtomicBoolean running = new AtomicBoolean(true);
    private final Thread thread = new Thread(this::submitUntilStopped, "operators");
    private volatile long newestConfirmed = 1;
    private int changes;

    FleetOperators(
            final Fleet fleet, final CallerLoad load, final LoadProfile profile, final Consumer<String> counter) {
        this.fleet = fleet;
        this.load = load;
        this.profile = profile;
        this.counter = counter;
        thread.setDaemon(true);
    }

    void start() {
        thread.start();
    }

    /** Stops submitting and waits for the outstanding changes. */
    void stop() throws InterruptedException {
        running.set(false);
        thread.join();
    }

    private void submitUntilStopped() {
        final SplittableRandom random = new SplittableRandom(SEED);
        while (running.get()) {
            try {
                submitConcurrently(random);
                Thread.sleep(PERIOD_MS);
            } catch (final InterruptedException ex) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private void submitConcurrently(final SplittableRandom random) throws InterruptedException {
        final List<Thread> submitters = new ArrayList<>();
        final int count = 1 + random.nextInt(2);
        for (int i = 0; i < count; i++) {
            final boolean withRevocableKey = random.nextInt(3) != 0;
            final boolean invalid = random.nextInt(5) == 0;
            final int firstController = 1 + random.nextInt(CONTROLLERS);
            changes++;
            final String id = "change-" + changes;
            submitters.add(new Thread(
                    () -> submit(new Change(id, newestConfirmed, withRevocableKey, invalid, firstController)), id));
        }
        submitters.forEach(Thread::start);
        for (final Thread submitter : submitters) {
            submitter.join();
        }
    }

    private Fleet.FleetProcess controller(final int index) {
        return fleet.processes().get(1 + index % CONTROLLERS);
    }

    private String document(final Change change) {
        final String document = profile.document(change.basedOn, change.id, change.withRevocableKey);
        return change.invalid ? document.replace("\"keepingSeconds\":30", "\"keepingSeconds\":-1") : document;
    }

    private void submit(final Change change) {
        final String document = document(change);
        if (change.withRevocableKey && !change.invalid) {
            load.grantSubmitted(profile.revocableKey());
        }
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            try {
                if (hasOutcome(change, document, attempt)) {
                    return;
                }
                Thread.sleep(RETRY_MS);
            } catch (final IOException ex) {
                counter.accept("changes sent to an unreachable controller");
            } catch (final InterruptedException ex) {
                Thread.currentThread().interrupt();
                return;
            }
        }
        violation(change.id + " got no outcome in 60 attempts");
    }

    /** Whether this attempt returned the outcome of the change. */
    private boolean hasOutcome(final Change change, final String document, final int attempt)
            throws IOException, InterruptedException {
        final Fleet.FleetProcess controller = controller(change.firstController + attempt);
        final HttpResponse<String> response = fleet.post(controller, "/v1/changes", document);
        final int status = response.statusCode();
        if (status == OK) {
            counter.accept("changes confirmed");
            confirmed(change, response.body());
            return true;
        }
        if (status >= BAD_REQUEST && status < SERVER_ERROR) {
            counter.accept("changes refused");
            return true;
        }
        return false;
    }

    private synchronized void confirmed(final Change change, final String body) {
        final long version = JsonText.parse(body).getInt("version");
        synchronized (load.history()) {
            load.history().confirmed(load.clock(), version, change.id);
        }
        if (change.invalid) {
            violation(change.id + " is invalid but was confirmed");
        }
        if (version > newestConfirmed) {
            newestConfirmed = version;
            if (!change.withRevocableKey) {
                load.removalConfirmed(profile.revocableKey());
            }
        }
    }

    /** Checks that a controller returns the newest confirmed configuration. */
    void readBack() throws InterruptedException {
        for (int attempt = 0; attempt < MAX_READ_ATTEMPTS; attempt++) {
            final String page = fleet.get(controller(attempt), "/v1/spec");
            if (!page.isEmpty()) {
                verify(JsonText.parse(page));
                return;
            }
            Thread.sleep(RETRY_MS);
        }
        violation("the newest configuration could not be read");
    }

    private void verify(final JsonObject read) {
        final long version = read.getInt("version");
        final String confirmedId = load.history().confirmedAs(newestConfirmed);
        final boolean older = version < newestConfirmed;
        final boolean different = version == newestConfirmed
                && confirmedId != null
                && !read.getJsonObject("document").getString("changeId").equals(confirmedId);
        if (older || different) {
            violation("configuration " + newestConfirmed + " was confirmed, but the version read back is " + version);
        }
    }

    private void violation(final String description) {
        synchronized (load.history()) {
            load.history().violation(load.clock(), description);
        }
    }

    @Override
    public void close() {
        running.set(false);
    }
}
