package brookpath.coordination.node.gateway;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.action.Actions;
import brookpath.coordination.message.FetchStatus;
import brookpath.coordination.message.PeerMessage.Fetch;
import brookpath.coordination.message.PeerMessage.FetchReply;
import brookpath.coordination.message.PeerMessage.TopicPosition;
import brookpath.state.record.LogRecord;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;

/** Fetches the groups' feeds: each group has one long poll pending at a source, shared by all live sessions. */
final class FeedFetcher {
    private final SessionRegistry registry;
    private final FetchSources sources;
    private final SessionWriter writer;
    private final SessionTerminator terminator;
    private final TimingBounds timing;
    private final LongSupplier ids;
    private final Actions out;

    FeedFetcher(
            final SessionRegistry registry,
            final FetchSources sources,
            final SessionWriter writer,
            final SessionTerminator terminator,
            final TimingBounds timing,
            final LongSupplier ids,
            final Actions out) {
        this.registry = registry;
        this.sources = sources;
        this.writer = writer;
        this.terminator = terminator;
        this.timing = timing;
        this.ids = ids;
        this.out = out;
    }

    void tick(final long now) {
        registry.feeds().forEach(feed -> fetch(feed, now));
    }

    /** Sends the next fetch, unless one in flight already requests all topics. */
    void fetch(final Feed feed, final long now) {
        if (!feed.hasPosition()) {
            return;
        }
        final boolean inFlight = !feed.fetches.isEmpty();
        // a working source replies within the long-poll timeout; one that does not is avoided before its missed
        // heartbeats show that it is down
        final boolean overdue = inFlight && now - feed.fetchSentAt > timing.longPollTimeout() + timing.heartbeat();
        if (inFlight && !overdue && feed.sentTopicsVersion == feed.topicsVersion) {
            return;
        }
        if (overdue) {
            sources.avoid(feed.source, now);
        }
        final int source = sources.select(feed.group, now);
        if (source == 0) {
            feed.fetches.clear();
            return;
        }
        // a new fetch to the same source does not restart the time-out: it has not replied since the earlier one
        final boolean stillUnanswered = inFlight && !overdue && source == feed.source;
        send(feed, source, stillUnanswered ? feed.fetchSentAt : now);
    }

    private void send(final Feed feed, final int source, final long unansweredSince) {
        if (feed.sentTopicsVersion != feed.topicsVersion) {
            // the fetches in flight do not request all topics
            feed.fetches.clear();
        }
        final long fetchId = ids.getAsLong();
        feed.fetches.add(fetchId);
        feed.source = source;
        feed.fetchSentAt = unansweredSince;
        final List<TopicPosition> topics = new ArrayList<>();
        if (feed.topicsKnownBy != source || feed.sentTopicsVersion != feed.topicsVersion) {
            feed.topics().forEach(topic -> topics.add(new TopicPosition(topic, 0)));
            feed.topicsKnownBy = source;
            feed.sentTopicsVersion = feed.topicsVersion;
        }
        out.send(source, new Fetch(fetchId, feed.group, false, true, feed.position, feed.topicsVersion, topics));
    }

    /**
     * Handles the reply to a feed's fetch.
     *
     * @param newest whether no other fetch was sent after this one
     */
    void received(final Feed feed, final int from, final FetchReply reply, final boolean newest, final long now) {
        if (!newest && reply.records().isEmpty() && reply.gone().isEmpty()) {
            // no progress, often a late reply of a member that was paused; the newest fetch is pending at a better one
            return;
        }
        if (reply.status() == FetchStatus.TOPICS_UNKNOWN) {
            if (from == feed.source) {
                feed.topicsKnownBy = 0;
                feed.fetches.clear();
                fetch(feed, now);
            }
            return;
        }
        if (reply.status() != FetchStatus.OK) {
            fetchElsewhere(feed, from, now);
            return;
        }
        feed.fetches.clear();
        endWhereHistoryIsGone(feed, reply);
        for (final LogRecord logRecord : reply.records()) {
            deliver(feed, logRecord, now);
        }
        feed.position = Math.max(feed.position, reply.scannedTo());
        if (!feed.hasNoListener()) {
            fetch(feed, now);
        }
    }

    /** Ends the subscriptions whose topics the feed can no longer read: it lagged for longer than history is kept. */
    private void endWhereHistoryIsGone(final Feed feed, final FetchReply reply) {
        for (final String topic : reply.gone()) {
            for (final long id : feed.liveSessions(topic)) {
                final Session session = registry.get(id);
                terminator.historyGone(session, session.subscription(topic), reply.gone());
            }
        }
    }

    private void deliver(final Feed feed, final LogRecord logRecord, final long now) {
        for (final long id : feed.liveSessions(logRecord.topic())) {
            final Session session = registry.get(id);
            writer.deliver(session, session.subscription(logRecord.topic()), logRecord, now);
        }
    }

    /**
     * Retries a fetch that a member cannot serve at present: with another member at once, or at the next timer where
     * all are being avoided.
     */
    private void fetchElsewhere(final Feed feed, final int failed, final long now) {
        sources.avoid(failed, now);
        if (failed != feed.source) {
            // the newest fetch was sent to another member, and its reply is still awaited
            return;
        }
        feed.fetches.clear();
        final int source = sources.select(feed.group, now);
        if (source != 0 && !sources.isAvoided(source)) {
            send(feed, source, now);
        }
    }

    /** A fetch was not sent. */
    void unsent(final int to, final Fetch message, final long now) {
        registry.feeds().stream()
                .filter(feed -> feed.fetches.remove(message.requestId()))
                .forEach(feed -> {
                    feed.topicsKnownBy = 0;
                    fetchElsewhere(feed, to, now);
                });
    }

    /** The connection to a node broke; messages in flight on it may not have arrived. */
    void connectionLost(final int node, final long now) {
        for (final Feed feed : registry.feeds()) {
            if (feed.source == node && !feed.fetches.isEmpty()) {
                fetchElsewhere(feed, node, now);
            }
            if (feed.topicsKnownBy == node) {
                feed.topicsKnownBy = 0;
            }
            feed.reported.forget(node);
        }
    }
}
