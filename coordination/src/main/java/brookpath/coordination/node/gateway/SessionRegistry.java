package brookpath.coordination.node.gateway;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.LongSupplier;

/** The sessions of this node, the groups' feeds, and the catch-up fetches in flight. */
final class SessionRegistry {
    private static final int MAX_SESSIONS = 8_192;

    /** A fetch in flight that a subscription catches up by. */
    record CatchUpFetch(Session session, GroupSubscription subscription) {}

    private final LongSupplier ids;
    private final TreeMap<Long, Session> sessions = new TreeMap<>();
    private final TreeMap<Integer, Feed> feeds = new TreeMap<>();
    private final Map<Long, CatchUpFetch> catchUpFetches = new HashMap<>();
    /** The sessions with a shared cursor, and those with a topic that may not be live yet. */
    private final TreeSet<Long> needingTimer = new TreeSet<>();

    SessionRegistry(final LongSupplier ids) {
        this.ids = ids;
    }

    int size() {
        return sessions.size();
    }

    boolean isFull() {
        return sessions.size() >= MAX_SESSIONS;
    }

    /** The session; null where it has ended. */
    Session get(final long id) {
        return sessions.get(id);
    }

    /** All sessions as a new list, since sessions may end during the iteration. */
    List<Session> sessions() {
        return new ArrayList<>(sessions.values());
    }

    void add(final Session session) {
        sessions.put(session.id, session);
    }

    /** Ends a session with all its subscriptions. */
    void remove(final Session session) {
        sessions.remove(session.id);
        needingTimer.remove(session.id);
        session.subscriptions().forEach(subscription -> unsubscribe(session, subscription));
    }

    void subscribe(final Session session, final GroupSubscription subscription) {
        session.add(subscription);
        needingTimer.add(session.id);
        final Feed feed = feeds.computeIfAbsent(subscription.group, Feed::new);
        for (final String topic : subscription.topics()) {
            if (feed.add(topic)) {
                feed.topicsVersion = ids.getAsLong();
            }
        }
    }

    void unsubscribe(final Session session, final GroupSubscription subscription) {
        session.remove(subscription);
        abandonCatchUp(subscription);
        final Feed feed = feeds.get(subscription.group);
        for (final String topic : subscription.topics()) {
            if (feed.remove(topic, session.id)) {
                // a fetch in flight may still return records of the topic, which is harmless
                feed.topicsVersion = ids.getAsLong();
            }
        }
        if (feed.hasNoListener()) {
            feeds.remove(subscription.group);
        }
    }

    /** The group's feed; null where nobody listens to a topic of the group. */
    Feed feed(final int group) {
        return feeds.get(group);
    }

    Collection<Feed> feeds() {
        return feeds.values();
    }

    /** The IDs of the sessions that need a timer, as a new list. */
    List<Long> needingTimer() {
        return new ArrayList<>(needingTimer);
    }

    boolean needsTimer() {
        return !needingTimer.isEmpty() || feeds.values().stream().anyMatch(feed -> feed.fetches.isEmpty());
    }

    void needsNoTimer(final Session session) {
        needingTimer.remove(session.id);
    }

    /** Records a catch-up fetch. */
    void catchUpSent(final long fetchId, final Session session, final GroupSubscription subscription) {
        catchUpFetches.remove(subscription.fetches.add(fetchId));
        catchUpFetches.put(fetchId, new CatchUpFetch(session, subscription));
    }

    /** Removes the subscription's catch-up fetches: their replies are no longer awaited. */
    void abandonCatchUp(final GroupSubscription subscription) {
        subscription.fetches.ids().forEach(catchUpFetches::remove);
        subscription.fetches.clear();
    }

    /** The catch-up fetch in flight with this request ID; null for none, or where its session has ended. */
    CatchUpFetch catchUp(final long fetchId) {
        final CatchUpFetch fetch = catchUpFetches.get(fetchId);
        return fetch == null || !sessions.containsKey(fetch.session.id) ? null : fetch;
    }

    /** Removes and returns the catch-up fetch with this request ID; null for none, or where its session has ended. */
    CatchUpFetch completeCatchUp(final long fetchId) {
        final CatchUpFetch fetch = catchUp(fetchId);
        catchUpFetches.remove(fetchId);
        if (fetch != null) {
            fetch.subscription.fetches.remove(fetchId);
        }
        return fetch;
    }
}
