package brookpath.coordination.heartbeat;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.action.Actions;
import brookpath.coordination.message.PeerMessage.Heartbeat;
import brookpath.coordination.message.PeerMessage.HeartbeatEntry;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Sends and receives heartbeats, and maintains the table of what they report. Times are of the steady clock, in
 * milliseconds. Not thread-safe: the replication listener thread owns it.
 */
public final class HeartbeatMonitor {
    /** The maximum number of heartbeats to a peer whose replies are awaited. */
    private static final int MAX_OUTSTANDING = 8;

    /** The number of missed replies in a row after which a peer counts as down. */
    private static final int MISSED_WHEN_DOWN = 2;

    private record SentHeartbeat(long sentAt, Map<Integer, HeartbeatEntry> ownEntries) {}

    private static final class Peer {
        final LinkedHashMap<Long, SentHeartbeat> sent = new LinkedHashMap<>();
        long lastId = -1;
        boolean lastAnswered = true;
        int missed = MISSED_WHEN_DOWN;
        long answeredSentAt = Long.MIN_VALUE / 2;
        Map<Integer, HeartbeatEntry> answeredOwn = Map.of();
        long heardAt = Long.MIN_VALUE / 2;
        long knownDigest;
        boolean historyFull;
        Map<Integer, HeartbeatEntry> entries = Map.of();
    }

    /** A watcher that has sent nothing for this number of heartbeat periods is removed. */
    private static final int WATCHER_EXPIRY_HEARTBEATS = 16;

    private static final int MAX_WATCHERS = 4_096;

    private final TimingBounds timing;
    private final long period;
    private final HeartbeatPromises promises;
    /**
     * Nodes that send heartbeats but are not peers, each with the time until which it is notified of changes at once.
     */
    private final TreeMap<Integer, Long> watchers = new TreeMap<>();

    private final TreeMap<Integer, Peer> peers = new TreeMap<>();
    private List<HeartbeatEntry> ownEntries = List.of();
    private boolean ownHistoryFull;
    private Map<Integer, HeartbeatEntry> ownEntriesByGroup = Map.of();
    private HeartbeatTable table = HeartbeatTable.EMPTY;
    private long nextId;
    private long nextRound = Long.MIN_VALUE / 2;

    /**
     * @param period the time between two heartbeats. Group members use that of the timing bounds; a process that only
     *     watches them is notified of changes, and may use a longer period
     */
    public HeartbeatMonitor(final TimingBounds timing, final long period, final HeartbeatPromises promises) {
        this.timing = timing;
        this.period = period;
        this.promises = promises;
    }

    /**
     * Sets the peers to exchange heartbeats with. Heartbeats from other nodes are answered, but these nodes are not in
     * the table.
     */
    public void setPeers(final Set<Integer> nodes) {
        peers.keySet().retainAll(nodes);
        nodes.forEach(n -> peers.computeIfAbsent(n, k -> new Peer()));
        publishTable();
    }

    /** Sets this process's entries, which the next heartbeats and replies carry. */
    public void setOwnEntries(final List<HeartbeatEntry> entries) {
        if (entries != ownEntries) {
            ownEntries = entries;
            ownEntriesByGroup = byGroup(entries);
        }
    }

    /** Sets whether this process has no memory for further records, which the next heartbeats report. */
    public void setOwnHistoryFull(final boolean full) {
        ownHistoryFull = full;
    }

    /** The newest table, which is immutable and may be passed to other threads. */
    public HeartbeatTable table() {
        return table;
    }

    /** When the next periodic round is due, in milliseconds of the steady clock. */
    public long nextRound() {
        return nextRound;
    }

    /** Sends the periodic round if it is due; true if that changed the number of peers that are up. */
    public boolean tick(final long now, final Actions out) {
        return now >= nextRound && round(now, true, out);
    }

    /** Sends a round to peers and watchers without waiting for the period. It does not count missed replies. */
    public void heartbeatNow(final long now, final Actions out) {
        round(now, false, out);
    }

    /**
     * Sends a heartbeat to one peer without waiting for the period. It does not count missed replies. Nothing is sent
     * to a node that is not a peer.
     */
    public void heartbeatTo(final int node, final long now, final Actions out) {
        final Peer peer = peers.get(node);
        if (peer != null) {
            send(node, peer, ++nextId, now, out);
        }
    }

    private boolean round(final long now, final boolean periodic, final Actions out) {
        final long upBefore = peers.values().stream()
                .filter(peer -> peer.missed < MISSED_WHEN_DOWN)
                .count();
        if (periodic) {
            nextRound = now + period;
        }
        final long id = ++nextId;
        peers.forEach((node, peer) -> {
            if (periodic) {
                peer.missed = peer.lastAnswered ? 0 : peer.missed + 1;
                peer.lastAnswered = false;
                peer.lastId = id;
            }
            send(node, peer, id, now, out);
        });
        if (!periodic) {
            watchers.values().removeIf(until -> now >= until);
            watchers.keySet().forEach(node -> out.send(node, new Heartbeat(false, id, now, 0, false, ownEntries)));
        }
        publishTable();
        return peers.values().stream()
                        .filter(peer -> peer.missed < MISSED_WHEN_DOWN)
                        .count()
                != upBefore;
    }

    private void send(final int node, final Peer peer, final long id, final long now, final Actions out) {
        peer.sent.put(id, new SentHeartbeat(now, ownEntriesByGroup));
        if (peer.sent.size() > MAX_OUTSTANDING) {
            peer.sent.remove(peer.sent.keySet().iterator().next());
        }
        out.send(node, new Heartbeat(false, id, now, peer.knownDigest, false, ownEntries, ownHistoryFull));
    }

    /**
     * Answers a heartbeat, or handles the reply to one. True if the state thread should see the table at once: a role,
     * term or sync state has changed, a peer is up again, or the reply extends the lease of a leader at this node.
     */
    public boolean onHeartbeat(final int from, final Heartbeat heartbeat, final long now, final Actions out) {
        final Peer peer = peers.get(from);
        return heartbeat.reply() ? onReply(peer, heartbeat, now) : onRequest(from, peer, heartbeat, now, out);
    }

    private boolean onRequest(
            final int from, final Peer peer, final Heartbeat heartbeat, final long now, final Actions out) {
        boolean changed = false;
        if (peer != null) {
            changed = storeEntries(peer, heartbeat, now) || peer.historyFull != heartbeat.historyFull();
            peer.historyFull = heartbeat.historyFull();
            publishTable();
        } else if (watchers.size() < MAX_WATCHERS) {
            watchers.put(from, now + WATCHER_EXPIRY_HEARTBEATS * timing.heartbeat());
        }
        // The promise is made before the answer is sent, since it must bind any vote cast after the answer, however
        // late the state thread sees the table
        final List<HeartbeatEntry> answer = promises.answer(from, heartbeat, ownEntries, now);
        // An answer only needs to carry roles, terms and sync states, since log positions come with this member's own
        // heartbeats. If the sender already knows these, the entries are omitted
        final boolean unchanged = heartbeat.knownDigest() == HeartbeatEntry.digest(answer);
        out.send(
                from,
                new Heartbeat(true, heartbeat.id(), heartbeat.stamp(), 0, unchanged, unchanged ? List.of() : answer));
        return changed;
    }

    private boolean onReply(final Peer peer, final Heartbeat heartbeat, final long now) {
        final SentHeartbeat sent = peer == null ? null : peer.sent.get(heartbeat.id());
        // A reply that took longer than the detection time does not show that the peer is up now
        if (sent == null || now - sent.sentAt > Math.max(timing.detectionTime(), 2 * period)) {
            return false;
        }
        final boolean changed = storeEntries(peer, heartbeat, now);
        final boolean wasDown = peer.missed >= MISSED_WHEN_DOWN;
        if (sent.sentAt >= peer.answeredSentAt) {
            peer.answeredSentAt = sent.sentAt;
            peer.answeredOwn = sent.ownEntries;
        }
        peer.missed = 0;
        if (heartbeat.id() >= peer.lastId) {
            peer.lastAnswered = true;
        }
        publishTable();
        return changed || wasDown || leadsAny();
    }

    private boolean leadsAny() {
        return ownEntries.stream().anyMatch(entry -> entry.role() == HeartbeatEntry.LEADER);
    }

    /** Stores the peer's entries; true if its roles, terms or sync states have changed. */
    private static boolean storeEntries(final Peer peer, final Heartbeat heartbeat, final long now) {
        peer.heardAt = now;
        final long before = peer.knownDigest;
        if (!heartbeat.entriesOmitted()) {
            peer.entries = byGroup(heartbeat.entries());
            peer.knownDigest = HeartbeatEntry.digest(heartbeat.entries());
        }
        return peer.knownDigest != before;
    }

    private void publishTable() {
        final TreeMap<Integer, HeartbeatTable.Row> rows = new TreeMap<>();
        peers.forEach((node, peer) -> rows.put(
                node,
                new HeartbeatTable.Row(
                        node,
                        peer.missed < MISSED_WHEN_DOWN,
                        peer.answeredSentAt,
                        peer.answeredOwn,
                        peer.heardAt,
                        peer.entries,
                        peer.historyFull)));
        table = new HeartbeatTable(rows, period <= timing.heartbeat() ? timing.detectionTime() : 5 * period / 2);
    }

    private static Map<Integer, HeartbeatEntry> byGroup(final List<HeartbeatEntry> entries) {
        final Map<Integer, HeartbeatEntry> entriesByGroup = new HashMap<>();
        entries.forEach(e -> entriesByGroup.put(e.group(), e));
        return entriesByGroup;
    }
}
