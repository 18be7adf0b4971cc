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

/** Fetches records for each session separately, from its cursors on, until it has caught up with the groups' feeds. */
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

    /** Starts fetching for a new subscription. */
    void start(final Session session, final GroupSubscription subscription, final long now) {
        fetch(session, subscription, now);
        feeds.fetch(registry.feed(subscription.group), now);
    }

    /** Retries fetches that got no reply in time, and those for which no member could be read from. */
    void retryIfOverdue(final Session session, final GroupSubscription subscription, final long now) {
        final boolean inFlight = !subscription.fetches.isEmpty();
        if (subscription.live
                || subscription.waitsForFlush
                || (inFlight && now - subscription.fetchSentAt <= timing.detectionTime())) {
            return;
        }
        if (inFlight) {
            sources.avoid(subscription.source, now);
            // the overdue fetch stays outstanding: its reply is as useful as the reply to the retry
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
        // a shared cursor must contain every topic, so no line can be sent before all positions are known
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
     * Whether the subscription can continue through the feed without missing a record: the feed requests the topic from
     * its own position on, which must not be after the subscription's.
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

    /** Handles the reply to a catch-up fetch. */
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
        final boolean complete = deliver(session, subscription, reply.records(), now);
        if (complete) {
            subscription.advanceAll(reply.scannedTo());
            joinFeed(session, subscription, reply, now);
        }
        if (session.catchUpWindow.needsNotification()) {
            out.notifyFlushed(session.id);
        }
    }

    /** Delivers records while the session's window is open; the others are fetched again once it is. */
    private boolean deliver(
            final Session session,
            final GroupSubscription subscription,
            final List<LogRecord> records,
            final long now) {
        for (final LogRecord logRecord : records) {
            if (!session.catchUpWindow.isOpen()) {
                subscription.waitsForFlush = true;
                return false;
            }
            writer.deliver(session, subscription, logRecord, now);
            session.catchUpWindow.delivered(logRecord.bytes().length);
        }
        return true;
    }

    /** The session's connection has taken what was delivered: its subscriptions continue to catch up. */
    void flushed(final Session session, final long now) {
        session.catchUpWindow.flushed();
        for (final GroupSubscription subscription : session.subscriptions()) {
            if (subscription.waitsForFlush) {
                subscription.waitsForFlush = false;
                fetch(session, subscription, now);
            }
        }
    }

    /**
     * Continues through the feed once the subscription has reached the feed's position, else continues to catch up. A
     * source that lags behind the feed and has no more records is retried at the next timer; retrying it at once would
     * be a busy loop.
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

    /** The connection to a node broke: the fetches in flight on it get no reply. */
    void connectionLost(final int node) {
        for (final Session session : registry.sessions()) {
            for (final GroupSubscription subscription : session.subscriptions()) {
                if (subscription.source == node) {
                    registry.abandonCatchUp(subscription);
                }
            }
        }
    }

    private void retryAtNextTimer(final GroupSubscription subscription, final long now) {
        // makes the fetch overdue
        subscription.fetchSentAt = now - timing.deliverMs();
    }
}
