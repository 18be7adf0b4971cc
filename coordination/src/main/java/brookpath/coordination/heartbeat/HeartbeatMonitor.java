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

/** Sends and receives heartbeats. The replication listener thread owns it. */
public final class HeartbeatMonitor {
    /** So many heartbeats to a peer are remembered until they are answered. */
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

    /** A visitor that has not asked for so many heartbeats is gone. */
    private static final int VISIT_HEARTBEATS = 16;

    private static final int MAX_VISITORS = 4_096;

    private final TimingBounds timing;
    private final long period;
    private final HeartbeatPromises promises;
    /** Who asks without being asked: until when it is told of changes at once. */
    private final TreeMap<Integer, Long> visitors = new TreeMap<>();

    private final TreeMap<Integer, Peer> peers = new TreeMap<>();
    private List<HeartbeatEntry> own = List.of();
    private Map<Integer, HeartbeatEntry> ownById = Map.of();
    private HeartbeatTable table = HeartbeatTable.EMPTY;
    private long nextId;
    private long nextRound = Long.MIN_VALUE / 2;

    /**
     * @param period between two heartbeats: that of the timing bounds for members of groups; who only watches them is
     *     told of changes besides and may ask less often
     */
    public HeartbeatMonitor(final TimingBounds timing, final long period, final HeartbeatPromises promises) {
        this.timing = timing;
        this.period = period;
        this.promises = promises;
    }

    /** The peers to heartbeat with; others are replied to and forgotten. */
    public void peers(final Set<Integer> nodes) {
        peers.keySet().retainAll(nodes);
        nodes.forEach(n -> peers.computeIfAbsent(n, k -> new Peer()));
        publishTable();
    }

    public void own(final List<HeartbeatEntry> entries) {
        if (entries != own) {
            own = entries;
            ownById = byGroup(entries);
        }
    }

    public HeartbeatTable table() {
        return table;
    }

    /** When the next periodic round is due. */
    public long nextRound() {
        return nextRound;
    }

    /** True where a peer has gone down, or is up again. */
    public boolean tick(final long now, final Actions out) {
        return now >= nextRound && round(now, true, out);
    }

    /** An extra round besides the period's; it counts no misses. */
    public void heartbeatNow(final long now, final Actions out) {
        round(now, false, out);
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
            peer.sent.put(id, new Sent(now, ownById));
            if (peer.sent.size() > MAX_OUTSTANDING) {
                peer.sent.remove(peer.sent.keySet().iterator().next());
            }
            out.send(node, new Heartbeat(false, id, now, peer.known, false, own));
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

    /**
     * True where it says something that matters at once: who is what has changed, or a leader's heartbeat is answered,
     * on which its lease stands.
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
        // why: who is what is all that an answer must tell, for positions come with this member's own heartbeats; where
        // that is as it was, a few bytes say so
        final boolean same = heartbeat.knownDigest() == HeartbeatEntry.digest(answer);
        out.send(from, new Heartbeat(true, heartbeat.id(), heartbeat.stamp(), 0, same, same ? List.of() : answer));
        return changed;
    }

    private boolean onReply(final Peer peer, final Heartbeat heartbeat, final long now) {
        final Sent sent = peer == null ? null : peer.sent.get(heartbeat.id());
        // why: a reply that took longer than the detection time says nothing about now
        if (sent == null || now - sent.at > Math.max(timing.down(), 2 * period)) {
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

    /** Takes the peer's entries; true where its roles, terms or sync states have changed. */
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
        table = new HeartbeatTable(rows, period <= timing.heartbeat() ? timing.down() : 5 * period / 2);
    }

    private static Map<Integer, HeartbeatEntry> byGroup(final List<HeartbeatEntry> entries) {
        final Map<Integer, HeartbeatEntry> map = new HashMap<>();
        entries.forEach(e -> map.put(e.group(), e));
        return map;
    }
}
