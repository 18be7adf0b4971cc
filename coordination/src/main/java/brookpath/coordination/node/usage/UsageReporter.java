package brookpath.coordination.node.usage;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.action.Actions;
import brookpath.coordination.configuration.ClusterMetadata;
import brookpath.coordination.configuration.ClusterMetadata.GroupInfo;
import brookpath.coordination.configuration.ControlState;
import brookpath.coordination.configuration.FleetClock;
import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.message.PeerMessage.ControlRequest;
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
import java.util.Set;
import java.util.TreeMap;
import java.util.function.LongSupplier;

/**
 * The control leader's duty of usage: the totals of a window go into the control log before they go to the platform.
 */
public final class UsageReporter {
    /** Goes at one report: about an hour of a platform that is down, as long as the groups keep their windows. */
    private static final int MAX_GOES = 1_200;

    private static final int POSTS_AT_ONCE = 8;
    private static final int MAX_DOUBLINGS = 6;

    private record Told(long closed, List<TopicState.Count> counts) {}

    private static final class Post {
        final ControlState.Window window;
        int goes;
        long nextAt;
        boolean underWay;

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
    private final TreeMap<Integer, Told> told = new TreeMap<>();
    private final TreeMap<Long, Post> posts = new TreeMap<>();

    /** @param ids of posts, never the same twice */
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

    /** What a leader knows and its successor must learn anew. */
    public void clear() {
        told.clear();
        posts.clear();
    }

    /**
     * A group's leader tells its closed windows; returns through which of them it is counted for good, -1 where that is
     * not settled.
     */
    public long tell(final ControlRequest op) {
        final PackedBuffer in = PackedBuffer.reader(op.body());
        final int id = (int) in.getLong();
        final long after = in.getLong();
        final long closed = in.getLong();
        final long included = view.state().included(id);
        if (after <= included) {
            final List<TopicState.Count> counts = new ArrayList<>();
            for (long n = in.getLong(); n > 0; n--) {
                counts.add(new TopicState.Count(in.getLong(), in.getString(), in.getLong(), in.getLong()));
            }
            told.put(id, new Told(closed, counts));
        }
        // why: what is only appended may still be lost, and the group would forget to tell it again
        return group.committed() >= group.endIndex() ? included : -1;
    }

    /** Totals the next window once all groups have closed it, or its time for stragglers is up. */
    public void total(final ClusterMetadata metadata, final Set<String> tenants, final Time time) {
        if (told.isEmpty() || metadata.groups().isEmpty() || !clock.known()) {
            return;
        }
        final long last = view.state().lastWindow();
        final long window = last >= 0
                ? last + 1
                : told.values().stream().mapToLong(Told::closed).min().orElse(0);
        boolean all = true;
        for (final GroupInfo g : metadata.groups()) {
            all &= told.containsKey(g.id()) && told.get(g.id()).closed >= window;
        }
        if (!all && clock.wall(time.mono()) < (window + 1) * timing.windowMs() + timing.straggle()) {
            return;
        }
        final TreeMap<String, long[]> sums = new TreeMap<>();
        tenants.forEach(t -> sums.put(t, new long[3]));
        final TreeMap<Integer, Long> upTo = new TreeMap<>();
        told.forEach((id, t) -> {
            final long included = view.state().included(id);
            final long through = Math.min(window, t.closed);
            for (final TopicState.Count c : t.counts) {
                if (c.window() > included && c.window() <= through) {
                    final long[] sum = sums.computeIfAbsent(c.tenant(), k -> new long[3]);
                    sum[0] += c.publishes();
                    sum[1] += c.bytes();
                    sum[2] |= c.window() < window && last >= 0 ? 1 : 0;
                }
            }
            if (through > included) {
                upTo.put(id, through);
            }
        });
        final List<ControlState.Used> used = new ArrayList<>();
        sums.forEach((tenant, n) -> used.add(new ControlState.Used(tenant, n[0], n[1], n[2] == 1)));
        group.append(LogRecord.CONTROL, ControlState.usageBody(window, used, upTo), time.mono(), time.wall());
    }

    /** Posts what the log has committed and the platform has not taken yet. */
    public void report(final Time time) {
        final long now = time.mono();
        for (final ControlState.Window w : view.state().untold(group.committed())) {
            if (posts.values().stream().noneMatch(p -> p.window.window() == w.window())) {
                posts.put(ids.getAsLong(), new Post(w));
            }
        }
        int underWay = (int) posts.values().stream().filter(p -> p.underWay).count();
        for (final java.util.Map.Entry<Long, Post> e : posts.entrySet()) {
            final Post p = e.getValue();
            if (underWay < POSTS_AT_ONCE && !p.underWay && now >= p.nextAt) {
                underWay++;
                p.underWay = true;
                p.goes++;
                out.post(e.getKey(), String.valueOf(p.window.window()), json(p.window));
            }
        }
    }

    /** One report for a window: who reports, in which term of the duty, and every tenant's counts. */
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

    /** What became of a post. */
    public void posted(final NodeRequest.Posted j, final Time time) {
        final Post p = posts.get(j.requestId());
        if (p == null) {
            return;
        }
        // why: the lease may have run out for a moment only, and the report must not wait for ever then
        p.underWay = false;
        p.nextAt = time.mono() + pause(j.outcome(), p.goes);
        final boolean ok = j.outcome() == PostOutcome.ACCEPTED;
        if (group.mayAct(time.mono()) && (ok || p.goes >= MAX_GOES)) {
            posts.remove(j.requestId());
            group.append(
                    LogRecord.CONTROL, ControlState.deliveredBody(p.window.window(), ok), time.mono(), time.wall());
        }
    }

    /** How long to wait before a report goes again. */
    private long pause(final PostOutcome outcome, final int goes) {
        return switch (outcome) {
            case ACCEPTED -> 0;
            // why: whoever holds the duty by now reports the same numbers from the same log; going on would only cost
            // calls, and a leader that is still the newest comes through later
            case FENCED -> timing.recoverMs();
            case NOT_SENT, THROTTLED, FAILED, UNKNOWN ->
                Math.min(timing.recoverMs() / 4, timing.down() << Math.min(goes, MAX_DOUBLINGS));
        };
    }

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
                final Boolean was = view.state().told(w.window());
                arr.add(Json.createObjectBuilder()
                        .add("windowStartMs", w.window() * timing.windowMs())
                        .add("platform", was == null ? "on its way" : was ? "told" : "given up")
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
