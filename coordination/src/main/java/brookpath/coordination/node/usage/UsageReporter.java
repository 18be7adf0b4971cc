package brookpath.coordination.node.usage;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.action.Actions;
import brookpath.coordination.controllog.ControlState;
import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.message.PeerMessage.ControlRequest;
import brookpath.coordination.metadata.ClusterMetadata;
import brookpath.coordination.metadata.ClusterMetadata.GroupInfo;
import brookpath.coordination.metadata.FleetClock;
import brookpath.coordination.node.Node.Time;
import brookpath.coordination.node.NodeRequest;
import brookpath.coordination.node.control.ControlView;
import brookpath.coordination.topic.TopicState;
import brookpath.state.record.LogRecord;
import brookpath.state.record.PackedBuffer;
import jakarta.json.Json;
import jakarta.json.JsonArrayBuilder;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.LongSupplier;

/**
 * Reports usage for the control leader: the totals of a window are committed to the control log before they are posted
 * to the platform.
 */
public final class UsageReporter {
    /**
     * The maximum number of attempts at one report. They last for about an hour of unavailability of the platform, as
     * long as the groups keep their windows.
     */
    private static final int MAX_ATTEMPTS = 1_200;

    private static final int MAX_POSTS_IN_FLIGHT = 8;
    private static final int MAX_DOUBLINGS = 6;

    /**
     * The windows that a group's leader has reported and no total includes yet.
     *
     * @param closed the newest window that the group has closed
     */
    private record ClosedWindows(long closed, List<TopicState.Count> counts) {}

    /** A tenant's usage in the window that is totalled. */
    private static final class TenantTotal {
        private long publishes;
        private long bytes;
        private boolean late;

        void add(final TopicState.Count count, final boolean isLate) {
            publishes += count.publishes();
            bytes += count.bytes();
            late |= isLate;
        }
    }

    private static final class Post {
        final ControlState.Window window;
        int attempts;
        long nextAt;
        boolean inFlight;

        Post(final ControlState.Window window) {
            this.window = window;
        }
    }

    private final int self;
    private final GroupMachine group;
    private final ControlView view;
    private final FleetClock clock;
    private final TimingBounds timing;
    private final LongSupplier ids;
    private final Actions out;
    private final TreeMap<Integer, ClosedWindows> closedWindows = new TreeMap<>();
    private final TreeMap<Long, Post> posts = new TreeMap<>();

    /** @param ids supplies unique IDs of posts */
    public UsageReporter(
            final int self,
            final GroupMachine group,
            final ControlView view,
            final FleetClock clock,
            final TimingBounds timing,
            final LongSupplier ids,
            final Actions out) {
        this.self = self;
        this.group = group;
        this.view = view;
        this.clock = clock;
        this.timing = timing;
        this.ids = ids;
        this.out = out;
    }

    /** Discards all state when the leadership ends; a successor rebuilds its own. */
    public void clear() {
        closedWindows.clear();
        posts.clear();
    }

    /**
     * Records the closed windows that a group's leader reports; returns the newest of them that committed totals
     * include, -1 while that is undecided.
     */
    public long recordClosedWindows(final ControlRequest request) {
        final PackedBuffer in = PackedBuffer.reader(request.body());
        final int id = (int) in.getLong();
        final long after = in.getLong();
        final long closed = in.getLong();
        final long included = view.state().included(id);
        if (after <= included) {
            final List<TopicState.Count> counts = new ArrayList<>();
            for (long n = in.getLong(); n > 0; n--) {
                counts.add(new TopicState.Count(in.getLong(), in.getString(), in.getLong(), in.getLong()));
            }
            closedWindows.put(id, new ClosedWindows(closed, counts));
        }
        // An uncommitted total may still be lost, and a group does not report acknowledged windows again
        return group.committed() >= group.endIndex() ? included : -1;
    }

    /** Totals the next window once all groups have closed it, or the time allowed for late groups is over. */
    public void totalNextWindow(final ClusterMetadata metadata, final Set<String> tenants, final Time time) {
        if (closedWindows.isEmpty() || metadata.groups().isEmpty() || !clock.isKnown()) {
            return;
        }
        final long last = view.state().lastWindow();
        final long window = last >= 0
                ? last + 1
                : closedWindows.values().stream()
                        .mapToLong(ClosedWindows::closed)
                        .min()
                        .orElse(0);
        final boolean all = isClosedByAll(metadata, window);
        if (!all && clock.wall(time.mono()) < (window + 1) * timing.windowMs() + timing.usageGracePeriod()) {
            return;
        }
        final byte[] record = ControlState.usageBody(window, totals(window, tenants, last >= 0), includedUpTo(window));
        group.append(LogRecord.CONTROL, record, time.mono(), time.wall());
    }

    private boolean isClosedByAll(final ClusterMetadata metadata, final long window) {
        for (final GroupInfo g : metadata.groups()) {
            final ClosedWindows closed = closedWindows.get(g.id());
            if (closed == null || closed.closed < window) {
                return false;
            }
        }
        return true;
    }

    /**
     * The counts of each tenant that no earlier total includes.
     *
     * @param hasEarlier whether there is an earlier total, so that counts of earlier windows are late
     */
    private List<ControlState.TenantUsage> totals(
            final long window, final Set<String> tenants, final boolean hasEarlier) {
        final TreeMap<String, TenantTotal> totals = new TreeMap<>();
        tenants.forEach(tenant -> totals.put(tenant, new TenantTotal()));
        closedWindows.forEach((id, reported) -> {
            final long included = view.state().included(id);
            final long through = Math.min(window, reported.closed);
            for (final TopicState.Count c : reported.counts) {
                if (c.window() > included && c.window() <= through) {
                    totals.computeIfAbsent(c.tenant(), tenant -> new TenantTotal())
                            .add(c, hasEarlier && c.window() < window);
                }
            }
        });
        final List<ControlState.TenantUsage> used = new ArrayList<>();
        totals.forEach((tenant, t) -> used.add(new ControlState.TenantUsage(tenant, t.publishes, t.bytes, t.late)));
        return used;
    }

    /**
     * The newest window of each group that the totals include once this window is totalled; groups that add nothing are
     * left out.
     */
    private Map<Integer, Long> includedUpTo(final long window) {
        final TreeMap<Integer, Long> upTo = new TreeMap<>();
        closedWindows.forEach((id, reported) -> {
            final long through = Math.min(window, reported.closed);
            if (through > view.state().included(id)) {
                upTo.put(id, through);
            }
        });
        return upTo;
    }

    /** Posts the committed totals that the platform has not accepted yet. */
    public void postTotals(final Time time) {
        final long now = time.mono();
        for (final ControlState.Window w : view.state().undelivered(group.committed())) {
            if (posts.values().stream().noneMatch(p -> p.window.window() == w.window())) {
                posts.put(ids.getAsLong(), new Post(w));
            }
        }
        int inFlight = (int) posts.values().stream().filter(p -> p.inFlight).count();
        for (final Map.Entry<Long, Post> e : posts.entrySet()) {
            final Post p = e.getValue();
            if (inFlight < MAX_POSTS_IN_FLIGHT && !p.inFlight && now >= p.nextAt) {
                inFlight++;
                p.inFlight = true;
                p.attempts++;
                out.post(e.getKey(), String.valueOf(p.window.window()), json(p.window));
            }
        }
    }

    /** The report of a window as JSON: the reporting node, its term, and the counts of every tenant. */
    private String json(final ControlState.Window w) {
        final JsonArrayBuilder tenants = Json.createArrayBuilder();
        w.used()
                .forEach(u -> tenants.add(Json.createObjectBuilder()
                        .add("tenant", u.tenant())
                        .add("publishes", u.publishes())
                        .add("bytes", u.bytes())
                        .add("late", u.late())));
        return Json.createObjectBuilder()
                .add("reporter", self)
                .add("epoch", group.term())
                .add("windowStartMs", w.window() * timing.windowMs())
                .add("windowEndMs", (w.window() + 1) * timing.windowMs())
                .add("tenants", tenants)
                .build()
                .toString();
    }

    /** Handles the outcome of a post. */
    public void onPosted(final NodeRequest.Posted request, final Time time) {
        final Post p = posts.get(request.requestId());
        if (p == null) {
            return;
        }
        // Done also without a lease: it may have expired only briefly, and the report must be retried
        p.inFlight = false;
        p.nextAt = time.mono() + retryDelayMs(request.outcome(), p.attempts);
        final boolean ok = request.outcome() == PostOutcome.ACCEPTED;
        if (group.mayAct(time.mono()) && (ok || p.attempts >= MAX_ATTEMPTS)) {
            posts.remove(request.requestId());
            group.append(
                    LogRecord.CONTROL, ControlState.deliveredBody(p.window.window(), ok), time.mono(), time.wall());
        }
    }

    /** The delay before a report is posted again, in milliseconds. */
    private long retryDelayMs(final PostOutcome outcome, final int attempts) {
        return switch (outcome) {
            case ACCEPTED -> 0;
            // A newer leader reports the same numbers from the same log, so that quick retries would only cost calls; a
            // leader that is still the newest succeeds later
            case FENCED -> timing.recoverMs();
            case NOT_SENT, THROTTLED, FAILED, UNKNOWN ->
                Math.min(timing.recoverMs() / 4, timing.detectionTime() << Math.min(attempts, MAX_DOUBLINGS));
        };
    }

    /** The committed totals and the outcomes of their reports, as JSON for operators. */
    public String windowsJson() {
        final JsonArrayBuilder arr = Json.createArrayBuilder();
        for (final ControlState.Window w : view.state().windows()) {
            if (w.index() <= group.committed()) {
                final JsonArrayBuilder used = Json.createArrayBuilder();
                w.used()
                        .forEach(u -> used.add(Json.createObjectBuilder()
                                .add("tenant", u.tenant())
                                .add("publishes", u.publishes())
                                .add("bytes", u.bytes())
                                .add("late", u.late())));
                final Boolean accepted = view.state().deliveryOutcome(w.window());
                arr.add(Json.createObjectBuilder()
                        .add("windowStartMs", w.window() * timing.windowMs())
                        .add("platform", accepted == null ? "on its way" : accepted ? "told" : "given up")
                        .add("tenants", used));
            }
        }
        return Json.createObjectBuilder()
                .add("windowMs", timing.windowMs())
                .add("windows", arr)
                .build()
                .toString();
    }
}
