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
 * Sends and receives heartbeats, and makes the table of what they report. Times are of the steady clock, in
 * milliseconds. Not thread-safe: the replication listener thread owns it.
 */
public final class HeartbeatMonitor {
    /** How many unanswered heartbeats to a peer are remembered. */
    private static final int MAX_OUTSTANDING = 8;

    /** A peer that has missed so many replies in a row is down. */
    private static final int MISSED_WHEN_DOWN = 2;

    private record Sent(long at, Map<Integer, HeartbeatEntry> own) {}

    private static final class Peer {
        final LinkedHashMap<Long, Sent> sent = new LinkedHashMap<>();
        long lastId = -1;
        boolean lastAnswered = true;
        int missed = MISSED_WHEN_DOWN;
        long answeredSentAt = Long.MIN_VALUE / 2;
        Map<Integer, HeartbeatEntry> answeredOwn = Map.of();
        long heardAt = Long.MIN_VALUE / 2;
        long known;
        Map<Integer, HeartbeatEntry> entries = Map.of();
    }

    /** A visitor that has sent nothing for so many heartbeat periods is forgotten. */
    private static final int VISIT_HEARTBEATS = 16;

    private static final int MAX_VISITORS = 4_096;

    private final TimingBounds timing;
    private final long period;
    private final HeartbeatPromises promises;
    /** Nodes that send heartbeats without being peers: until when each is notified of changes at once. */
    private final TreeMap<Integer, Long> visitors = new TreeMap<>();

    private final TreeMap<Integer, Peer> peers = new TreeMap<>();
    private List<HeartbeatEntry> own = List.of();
    private Map<Integer, HeartbeatEntry> ownById = Map.of();
    private HeartbeatTable table = HeartbeatTable.EMPTY;
    private long nextId;
    private long nextRound = Long.MIN_VALUE / 2;

    /**
     * @param period between two heartbeats: that of the timing bounds for members of groups; a process that only
     *     watches them is notified of changes and may use a longer one
     */
    public HeartbeatMonitor(final TimingBounds timing, final long period, final HeartbeatPromises promises) {
        this.timing = timing;
        this.period = period;
        this.promises = promises;
    }

    /** Sets the peers to exchange heartbeats with; other nodes are answered, but are not in the table. */
    public void setPeers(final Set<Integer> nodes) {
        peers.keySet().retainAll(nodes);
        nodes.forEach(n -> peers.computeIfAbsent(n, k -> new Peer()));
        publishTable();
    }

    /** Sets the entries that the next heartbeats and answers carry. */
    public void setOwnEntries(final List<HeartbeatEntry> entries) {
        if (entries != own) {
            own = entries;
            ownById = byGroup(entries);
        }
    }

    /** The newest table: immutable, so it may be passed to other threads. */
    public HeartbeatTable table() {
        return table;
    }

    /** When the next periodic round is due, in milliseconds of the steady clock. */
    public long nextRound() {
        return nextRound;
    }

    /** Sends the periodic round where it is due. True where the number of peers that are up has changed with it. */
    public boolean tick(final long now, final Actions out) {
        return now >= nextRound && round(now, true, out);
    }

    /** Sends a round to peers and visitors without waiting for the period; it counts no misses. */
    public void heartbeatNow(final long now, final Actions out) {
        round(now, false, out);
    }

    /** Sends a heartbeat to one peer without waiting for the period; it counts no miss. Other nodes get none. */
    public void heartbeatTo(final int node, final long now, final Actions out) {
        final Peer peer = peers.get(node);
        if (peer != null) {
            send(node, peer, ++nextId, now, out);
        }
    }

    private boolean round(final long now, final boolean periodic, final Actions out) {
        final long up = peers.values().stream()
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
            visitors.values().removeIf(until -> now >= until);
            visitors.keySet().forEach(node -> out.send(node, new Heartbeat(false, id, now, 0, false, own)));
        }
        publishTable();
        return peers.values().stream()
                        .filter(peer -> peer.missed < MISSED_WHEN_DOWN)
                        .count()
                != up;
    }

    private void send(final int node, final Peer peer, final long id, final long now, final Actions out) {
        peer.sent.put(id, new Sent(now, ownById));
        if (peer.sent.size() > MAX_OUTSTANDING) {
            peer.sent.remove(peer.sent.keySet().iterator().next());
        }
        out.send(node, new Heartbeat(false, id, now, peer.known, false, own));
    }

    /**
     * Handles a heartbeat, which it answers, or a reply to one. True where the state thread should see the table at
     * once: a role, term or sync state has changed, a peer is up again, or a reply extends this leader's lease.
     */
    public boolean onHeartbeat(final int from, final Heartbeat heartbeat, final long now, final Actions out) {
        final Peer peer = peers.get(from);
        return heartbeat.reply() ? onReply(peer, heartbeat, now) : onRequest(from, peer, heartbeat, now, out);
    }

    private boolean onRequest(
            final int from, final Peer peer, final Heartbeat heartbeat, final long now, final Actions out) {
        boolean changed = false;
        if (peer != null) {
            changed = learn(peer, heartbeat, now);
            publishTable();
        } else if (visitors.size() < MAX_VISITORS) {
            visitors.put(from, now + VISIT_HEARTBEATS * timing.heartbeat());
        }
        // why: the promise comes before the answer, for a vote given after the answer must know of it however late
        // the table is seen
        final List<HeartbeatEntry> answer = promises.answer(from, heartbeat, own, now);
        // why: an answer has to carry roles, terms and sync states only, for positions come with this member's own
        // heartbeats; where these are unchanged, the entries are omitted
        final boolean same = heartbeat.knownDigest() == HeartbeatEntry.digest(answer);
        out.send(from, new Heartbeat(true, heartbeat.id(), heartbeat.stamp(), 0, same, same ? List.of() : answer));
        return changed;
    }

    private boolean onReply(final Peer peer, final Heartbeat heartbeat, final long now) {
        final Sent sent = peer == null ? null : peer.sent.get(heartbeat.id());
        // why: a reply that took longer than the detection time does not show that the peer is up now
        if (sent == null || now - sent.at > Math.max(timing.detectionTime(), 2 * period)) {
            return false;
        }
        final boolean changed = learn(peer, heartbeat, now);
        final boolean wasDown = peer.missed >= MISSED_WHEN_DOWN;
        if (sent.at >= peer.answeredSentAt) {
            peer.answeredSentAt = sent.at;
            peer.answeredOwn = sent.own;
        }
        peer.missed = 0;
        if (heartbeat.id() >= peer.lastId) {
            peer.lastAnswered = true;
        }
        publishTable();
        return changed || wasDown || leadsAny();
    }

    private boolean leadsAny() {
        return own.stream().anyMatch(entry -> entry.role() == HeartbeatEntry.LEADER);
    }

    /** Stores the peer's entries; true where its roles, terms or sync states have changed. */
    private static boolean learn(final Peer peer, final Heartbeat heartbeat, final long now) {
        peer.heardAt = now;
        final long before = peer.known;
        if (!heartbeat.entriesOmitted()) {
            peer.entries = byGroup(heartbeat.entries());
            peer.known = HeartbeatEntry.digest(heartbeat.entries());
        }
        return peer.known != before;
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
                        peer.entries)));
        table = new HeartbeatTable(rows, period <= timing.heartbeat() ? timing.detectionTime() : 5 * period / 2);
    }

    private static Map<Integer, HeartbeatEntry> byGroup(final List<HeartbeatEntry> entries) {
        final Map<Integer, HeartbeatEntry> map = new HashMap<>();
        entries.forEach(e -> map.put(e.group(), e));
        return map;
    }
}
