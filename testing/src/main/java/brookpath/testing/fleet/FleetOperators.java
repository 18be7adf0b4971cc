package brookpath.testing.fleet;

import jakarta.json.JsonObject;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

/** Operators who hand over changes, one or two at a time, some of them nonsense, and judge what becomes of them. */
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
     * A change that an operator hands over.
     *
     * @param withShaky whether the key that comes and goes is in it
     * @param nonsense whether it must be refused
     * @param firstController which controller is asked first
     */
    private record Change(String id, long basedOn, boolean withShaky, boolean nonsense, int firstController) {}

    private final Fleet fleet;
    private final Load load;
    private final Profile profile;
    private final Consumer<String> counter;
    private final AtomicBoolean open = new AtomicBoolean(true);
    private final Thread thread = new Thread(this::operate, "operators");
    private volatile long newestConfirmed = 1;
    private int changes;

    FleetOperators(final Fleet fleet, final Load load, final Profile profile, final Consumer<String> counter) {
        this.fleet = fleet;
        this.load = load;
        this.profile = profile;
        this.counter = counter;
        thread.setDaemon(true);
    }

    void start() {
        thread.start();
    }

    /** Waits for the changes under way. */
    void stop() throws InterruptedException {
        open.set(false);
        thread.join();
    }

    private void operate() {
        final SplittableRandom random = new SplittableRandom(SEED);
        while (open.get()) {
            try {
                race(random);
                Thread.sleep(PERIOD_MS);
            } catch (final InterruptedException ex) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private void race(final SplittableRandom random) throws InterruptedException {
        final List<Thread> racers = new ArrayList<>();
        final int count = 1 + random.nextInt(2);
        for (int i = 0; i < count; i++) {
            final boolean withShaky = random.nextInt(3) != 0;
            final boolean nonsense = random.nextInt(5) == 0;
            final int firstController = 1 + random.nextInt(CONTROLLERS);
            changes++;
            final String id = "change-" + changes;
            racers.add(new Thread(
                    () -> handOver(new Change(id, newestConfirmed, withShaky, nonsense, firstController)), id));
        }
        racers.forEach(Thread::start);
        for (final Thread racer : racers) {
            racer.join();
        }
    }

    private Fleet.Unit controller(final int index) {
        return fleet.units().get(1 + index % CONTROLLERS);
    }

    private String document(final Change change) {
        final String document = profile.document(change.basedOn, change.id, change.withShaky);
        return change.nonsense ? document.replace("\"keepingSeconds\":30", "\"keepingSeconds\":-1") : document;
    }

    private void handOver(final Change change) {
        final String document = document(change);
        if (change.withShaky && !change.nonsense) {
            load.grantUnderWay(profile.shakyKey());
        }
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            try {
                if (isSettledBy(change, document, attempt)) {
                    return;
                }
                Thread.sleep(RETRY_MS);
            } catch (final IOException ex) {
                counter.accept("changes asked of a controller that is away");
            } catch (final InterruptedException ex) {
                Thread.currentThread().interrupt();
                return;
            }
        }
        violation(change.id + " got no outcome in 60 goes");
    }

    /** Whether this attempt told the change's outcome. */
    private boolean isSettledBy(final Change change, final String document, final int attempt)
            throws IOException, InterruptedException {
        final Fleet.Unit controller = controller(change.firstController + attempt);
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
        if (change.nonsense) {
            violation(change.id + " is nonsense and was confirmed");
        }
        if (version > newestConfirmed) {
            newestConfirmed = version;
            if (!change.withShaky) {
                load.removed(profile.shakyKey());
            }
        }
    }

    /** Judges that the newest confirmed change is what the controllers tell. */
    void readBack() throws InterruptedException {
        for (int attempt = 0; attempt < MAX_READ_ATTEMPTS; attempt++) {
            final String page = fleet.get(controller(attempt), "/v1/spec");
            if (!page.isEmpty()) {
                judge(JsonText.parse(page));
                return;
            }
            Thread.sleep(RETRY_MS);
        }
        violation("the newest spec could not be read");
    }

    private void judge(final JsonObject read) {
        final long version = read.getInt("version");
        final String confirmedId = load.history().confirmedAs(newestConfirmed);
        final boolean older = version < newestConfirmed;
        final boolean other = version == newestConfirmed
                && confirmedId != null
                && !read.getJsonObject("document").getString("changeId").equals(confirmedId);
        if (older || other) {
            violation("spec " + newestConfirmed + " was confirmed, read back is " + version);
        }
    }

    private void violation(final String what) {
        synchronized (load.history()) {
            load.history().violation(load.clock(), what);
        }
    }

    @Override
    public void close() {
        open.set(false);
    }
}
