package brookpath.coordination.node.front;

import brookpath.coordination.Tempo;
import brookpath.coordination.action.Actions;
import brookpath.coordination.message.Msg.Listen;
import brookpath.coordination.message.Msg.TopicCount;
import brookpath.coordination.route.RouteFinder;
import java.util.List;
import java.util.Map;
import java.util.function.LongFunction;
import java.util.function.LongSupplier;

/** Tells each group's master how many sessions of this node listen to its topics. */
final class ListenerReporter {
    private final SessionRegistry registry;
    private final Tempo tempo;
    private final LongFunction<RouteFinder> routes;
    private final LongSupplier ids;
    private final Actions out;

    ListenerReporter(
            final SessionRegistry registry,
            final Tempo tempo,
            final LongFunction<RouteFinder> routes,
            final LongSupplier ids,
            final Actions out) {
        this.registry = registry;
        this.tempo = tempo;
        this.routes = routes;
        this.ids = ids;
        this.out = out;
    }

    /** Reports what has changed, to a new master everything, and now and then that all is as before. */
    void report(final long now) {
        final RouteFinder finder = routes.apply(now);
        for (final Feed feed : registry.feeds()) {
            final int master = finder.master(feed.group, now).node();
            if (master != 0) {
                report(feed, master, now);
            }
        }
    }

    private void report(final Feed feed, final int master, final long now) {
        final ReportedListeners reported = feed.reported;
        final boolean current = reported.isCurrent(master, feed.changes());
        if (current && reported.sentWithin(tempo.listenRefresh(), now)) {
            return;
        }
        final long base = reported.baseFor(master);
        List<TopicCount> changed = List.of();
        if (!current) {
            final Map<String, Integer> counts = feed.listenerCounts();
            changed = reported.changedSince(base, counts);
            reported.replace(master, counts, feed.changes(), ids.getAsLong());
        }
        reported.sent(now);
        out.send(master, new Listen(feed.group, reported.version(), base, changed));
    }

    /** The report never left this process. */
    void unsent(final Listen message) {
        final Feed feed = registry.feed(message.group());
        if (feed != null) {
            feed.reported.forget();
        }
    }
}
