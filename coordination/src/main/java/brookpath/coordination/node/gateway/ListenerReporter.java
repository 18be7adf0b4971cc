package brookpath.coordination.node.gateway;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.action.Actions;
import brookpath.coordination.message.PeerMessage.ListenerReport;
import brookpath.coordination.message.PeerMessage.TopicCount;
import brookpath.coordination.route.RouteFinder;
import java.util.List;
import java.util.Map;
import java.util.function.LongFunction;
import java.util.function.LongSupplier;

/** Reports to each group's leader how many sessions of this node listen to its topics. */
final class ListenerReporter {
    private final SessionRegistry registry;
    private final TimingBounds timing;
    private final LongFunction<RouteFinder> routes;
    private final LongSupplier ids;
    private final Actions out;

    ListenerReporter(
            final SessionRegistry registry,
            final TimingBounds timing,
            final LongFunction<RouteFinder> routes,
            final LongSupplier ids,
            final Actions out) {
        this.registry = registry;
        this.timing = timing;
        this.routes = routes;
        this.ids = ids;
        this.out = out;
    }

    /** Reports changed counts to each leader, all counts to a new leader, and periodically confirms unchanged ones. */
    void report(final long now) {
        final RouteFinder finder = routes.apply(now);
        for (final Feed feed : registry.feeds()) {
            final int leader = finder.leader(feed.group, now).node();
            if (leader != 0) {
                report(feed, leader, now);
            }
        }
    }

    private void report(final Feed feed, final int leader, final long now) {
        final ReportedListeners reported = feed.reported;
        final boolean current = reported.isCurrent(leader, feed.changes());
        if (current && reported.sentWithin(timing.listenerReportInterval(), now)) {
            return;
        }
        final long base = reported.baseFor(leader);
        List<TopicCount> changed = List.of();
        if (!current) {
            final Map<String, Integer> counts = feed.listenerCounts();
            changed = reported.changedSince(base, counts);
            reported.replace(leader, counts, feed.changes(), ids.getAsLong());
        }
        reported.sent(now);
        out.send(leader, new ListenerReport(feed.group, reported.version(), base, changed));
    }

    /** A report was not sent. */
    void unsent(final ListenerReport message) {
        final Feed feed = registry.feed(message.group());
        if (feed != null) {
            feed.reported.forget();
        }
    }
}
