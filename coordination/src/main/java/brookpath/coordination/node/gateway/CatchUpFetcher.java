package brookpath.coordination.node.gateway;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.action.Actions;
import brookpath.coordination.message.FetchStatus;
import brookpath.coordination.message.PeerMessage.Fetch;
import brookpath.coordination.message.PeerMessage.FetchReply;
import brookpath.coordination.message.PeerMessage.TopicPosition;
import brookpath.state.record.LogRecord;
import java.util.List;
import java.util.function.LongSupplier;

/** Reads records for sessions from their cursors on, until they have caught up with the groups' feeds. */
final class CatchUpFetcher {
    private final SessionRegistry registry;
    private final FetchSources sources;
    private final FeedFetcher feeds;
    private final SessionWriter writer;
    private final SessionTerminator terminator;
    private final JoinReport joins;
    private final TimingBounds timing;
    private final LongSupplier ids;
    private final Actions out;

    CatchUpFetcher(
            final SessionRegistry registry,
            final FetchSources sources,
            final FeedFetcher feeds,
            final SessionWriter writer,
            final SessionTerminator terminator,
            final JoinReport joins,
            final TimingBounds timing,
            final LongSupplier ids,
            final Actions out) {
        this.registry = registry;
        this.sources = sources;
        this.feeds = feeds;
        this.writer = writer;
        this.terminator = terminator;
        this.joins = joins;
        this.timing = timing;
        this.ids = ids;
        this.out = out;
    }

    /** Begins to read for a new subscription. */
    void start(final Session session, final GroupSubscription subscription, final long now) {
        fetch(session, subscription, now);
        feeds.fetch(registry.feed(subscription.group), now);
    }

    /** Retries fetches without a timely reply, and those that had no member to read from. */
    void retryIfOverdue(final Session session, final GroupSubscription subscription, final long now) {
        final boolean underWay = !subscription.fetches.isEmpty();
        if (subscription.live || (underWay && now - subscription.fetchSentAt <= timing.detectionTime())) {
            return;
        }
        if (underWay) {
            sources.avoid(subscription.source, now);
            // why: the overdue fetch stays outstanding, since its reply is as good as that to the next one
            if (!goLiveIfCovered(session, subscription, now)) {
                send(session, subscription, now);
            }
        } else {
            fetch(session, subscription, now);
        }
    }

    private void fetch(final Session session, final GroupSubscription subscription, final long now) {
        registry.abandonCatchUp(subscription);
        if (!goLiveIfCovered(session, subscription, now)) {
            send(session, subscription, now);
        }
    }

    private boolean goLiveIfCovered(final Session session, final GroupSubscription subscription, final long now) {
        final Feed feed = registry.feed(subscription.group);
        if (session.sharedCursor || !isCoveredBy(feed, subscription)) {
            return false;
        }
        registry.abandonCatchUp(subscription);
        goLive(session, subscription, feed, feed.position, now);
        return true;
    }

    private void send(final Session session, final GroupSubscription subscription, final long now) {
        final int source = sources.select(subscription.group, now);
        subscription.resolvingEnd = !subscription.knowsPositions();
        // a shared cursor must contain every topic, so that no line is sent before all positions are known
        final boolean mustWait = session.sharedCursor && !subscription.resolvingEnd && !session.knowsPositions();
        if (source == 0 || mustWait) {
            return;
        }
        final long fetchId = ids.getAsLong();
        subscription.source = source;
        subscription.fetchSentAt = now;
        registry.catchUpSent(fetchId, session, subscription);
        final List<TopicPosition> wanted = subscription.resolvingEnd ? List.of() : subscription.wanted();
        out.send(source, new Fetch(fetchId, subscription.group, subscription.resolvingEnd, false, 0, 0, wanted));
    }

    /**
     * Adds the subscription to the feed. The feed requests the topic from its own position on, so that no record is
     * missed.
     */
    private static boolean isCoveredBy(final Feed feed, final GroupSubscription subscription) {
        final long position = subscription.position();
        return feed.hasPosition() && (position < 0 || position >= feed.position);
    }

    private void goLive(
            final Session session,
            final GroupSubscription subscription,
            final Feed feed,
            final long position,
            final long now) {
        subscription.advanceAll(position);
        subscription.live = true;
        joins.wentLive(subscription, now);
        subscription.topics().forEach(topic -> feed.addLive(topic, session.id));
        writer.confirmJoin(subscription);
        if (session.sharedCursor && session.isLive()) {
            writer.keepAlive(session, now);
        }
    }

    /** Handles the reply to a session's own fetch. */
    void received(final int from, final FetchReply reply, final long now) {
        final SessionRegistry.CatchUpFetch fetch = registry.completeCatchUp(reply.requestId());
        if (fetch == null) {
            return;
        }
        final GroupSubscription subscription = fetch.subscription();
        if (reply.status() != FetchStatus.OK) {
            sources.avoid(from, now);
            retryAtNextTimer(subscription, now);
            return;
        }
        registry.abandonCatchUp(subscription);
        if (subscription.resolvingEnd) {
            endResolved(fetch.session(), subscription, reply, now);
        } else if (!reply.gone().isEmpty()) {
            terminator.historyGone(fetch.session(), subscription, reply.gone());
        } else {
            recordsReceived(fetch.session(), subscription, reply, now);
        }
    }

    private void endResolved(
            final Session session, final GroupSubscription subscription, final FetchReply reply, final long now) {
        subscription.resolveEnd(reply.scannedTo());
        if (!session.sharedCursor) {
            writer.confirmJoin(subscription);
            joinFeed(session, subscription, reply, now);
        } else if (session.knowsPositions()) {
            session.subscriptions().forEach(each -> fetch(session, each, now));
        }
    }

    private void recordsReceived(
            final Session session, final GroupSubscription subscription, final FetchReply reply, final long now) {
        if (session.sharedCursor && !session.started) {
            writer.start(session, now);
        }
        writer.confirmJoin(subscription);
        for (final LogRecord logRecord : reply.records()) {
            writer.deliver(session, subscription, logRecord, now);
        }
        subscription.advanceAll(reply.scannedTo());
        joinFeed(session, subscription, reply, now);
    }

    /**
     * Continues through the feed once the feed is no further, else continues to catch up. A source that lags behind the
     * feed and has nothing more is retried at the next timer, not at once, which would be a busy loop.
     */
    private void joinFeed(
            final Session session, final GroupSubscription subscription, final FetchReply reply, final long now) {
        final Feed feed = registry.feed(subscription.group);
        if (!feed.hasPosition()) {
            feed.position = reply.scannedTo();
        }
        if (reply.scannedTo() >= feed.position) {
            goLive(session, subscription, feed, reply.scannedTo(), now);
            feeds.fetch(feed, now);
        } else if (!reply.records().isEmpty()) {
            fetch(session, subscription, now);
        }
    }

    /** A fetch was not sent. */
    void unsent(final Fetch message, final long now) {
        final SessionRegistry.CatchUpFetch fetch = registry.completeCatchUp(message.requestId());
        if (fetch != null) {
            retryAtNextTimer(fetch.subscription(), now);
        }
    }

    /** The connection to a node broke, so that the fetches in flight there get no reply. */
    void sessionLost(final int node) {
        for (final Session session : registry.sessions()) {
            for (final GroupSubscription subscription : session.subscriptions()) {
                if (subscription.source == node) {
                    registry.abandonCatchUp(subscription);
                }
            }
        }
    }

    private void retryAtNextTimer(final GroupSubscription subscription, final long now) {
        // so long ago that the fetch is overdue
        subscription.fetchSentAt = now - timing.deliverMs();
    }
}
