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
    private static final int OUTSTANDING = 8;

    private record Sent(long at, Map<Integer, HeartbeatEntry> own) {}

    private static final class Peer {
        final LinkedHashMap<Long, Sent> sent = new LinkedHashMap<>();
        long lastId = -1;
        boolean lastAnswered = true;
        int missed = 2;
        long answeredSentAt = Long.MIN_VALUE / 2;
        Map<Integer, HeartbeatEntry> answeredOwn = Map.of();
        long heardAt = Long.MIN_VALUE / 2;
        long known;
        Map<Integer, HeartbeatEntry> entries = Map.of();
    }

    /** A visitor that has not asked for so many heartbeats is gone. */
    private static final int VISIT = 16;

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
     * @param period between two heartbeats: the timing bounds's for members of groups; who only watches them is told of
     *     changes besides and may ask less often
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
        swap();
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
        final long up = peers.values().stream().filter(peer -> peer.missed < 2).count();
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
            if (peer.sent.size() > OUTSTANDING) {
                peer.sent.remove(peer.sent.keySet().iterator().next());
            }
            out.send(node, new Heartbeat(false, id, now, peer.known, false, own));
        });
        if (!periodic) {
            visitors.values().removeIf(until -> now >= until);
            visitors.keySet().forEach(node -> out.send(node, new Heartbeat(false, id, now, 0, false, own)));
        }
        swap();
        return peers.values().stream().filter(peer -> peer.missed < 2).count() != up;
    }

    /**
     * True where it says something that matters at once: who is what has changed, or a leader's heartbeat is answered,
     * on which its lease stands.
     */
    public boolean onHeartbeat(final int from, final Heartbeat heartbeat, final long now, final Actions out) {
        final Peer peer = peers.get(from);
        boolean news = false;
        if (!heartbeat.reply()) {
            if (peer != null) {
                news = learn(peer, heartbeat, now);
                swap();
            } else if (visitors.size() < MAX_VISITORS) {
                visitors.put(from, now + VISIT * timing.heartbeat());
            }
            // why: the promise comes before the answer, for a vote given after the answer must know of it however late
            // the table is seen
            final List<HeartbeatEntry> answer = promises.answer(from, heartbeat, own, now);
            // why: who is what is all that an answer must tell, for positions come with this member's own heartbeats;
            // where
            // that is as it was, a few bytes say so
            final boolean same = heartbeat.knownDigest() == HeartbeatEntry.digest(answer);
            out.send(from, new Heartbeat(true, heartbeat.id(), heartbeat.stamp(), 0, same, same ? List.of() : answer));
            return news;
        }
        final Sent sent = peer == null ? null : peer.sent.get(heartbeat.id());
        // why: a reply that took longer than the detection time says nothing about now
        if (sent == null || now - sent.at > Math.max(timing.down(), 2 * period)) {
            return false;
        }
        news = learn(peer, heartbeat, now)
                || peer.missed >= 2
                || own.stream().anyMatch(e -> e.role() == HeartbeatEntry.LEADER);
        if (sent.at >= peer.answeredSentAt) {
            peer.answeredSentAt = sent.at;
            peer.answeredOwn = sent.own;
        }
        peer.missed = 0;
        if (heartbeat.id() >= peer.lastId) {
            peer.lastAnswered = true;
        }
        swap();
        return news;
    }

    private static boolean learn(final Peer peer, final Heartbeat heartbeat, final long now) {
        peer.heardAt = now;
        final long before = peer.known;
        if (!heartbeat.entriesOmitted()) {
            peer.entries = byGroup(heartbeat.entries());
            peer.known = HeartbeatEntry.digest(heartbeat.entries());
        }
        return peer.known != before;
    }

    private void swap() {
        final TreeMap<Integer, HeartbeatTable.Row> rows = new TreeMap<>();
        peers.forEach((node, peer) -> rows.put(
                node,
                new HeartbeatTable.Row(
                        node, peer.missed < 2, peer.answeredSentAt, peer.answeredOwn, peer.heardAt, peer.entries)));
        table = new HeartbeatTable(rows, period <= timing.heartbeat() ? timing.down() : 5 * period / 2);
    }

    private static Map<Integer, HeartbeatEntry> byGroup(final List<HeartbeatEntry> entries) {
        final Map<Integer, HeartbeatEntry> map = new HashMap<>();
        entries.forEach(e -> map.put(e.group(), e));
        return map;
    }
}
