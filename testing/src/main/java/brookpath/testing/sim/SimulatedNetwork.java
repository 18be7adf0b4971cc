package brookpath.testing.sim;

import brookpath.coordination.message.PeerMessage;
import brookpath.protocol.frame.FrameCodec;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The simulated network: ordered sessions with delay, cuts in one or both directions, and packet loss, which shows as
 * retransmission delay.
 */
final class SimulatedNetwork {
    private static final long LENGTH_PREFIX_BYTES = 4;

    private final SimulatedCluster cluster;
    private final FrameCodec codec = new FrameCodec();
    private final Map<Long, Long> lastAt = new HashMap<>();
    private final Set<Long> cuts = new HashSet<>();
    /** The newest incarnation of the sender from which a message has arrived, by link. */
    private final Map<Long, Long> newestIncarnations = new HashMap<>();

    private final Map<Long, Long> resetAt = new HashMap<>();
    int lossPerThousand;
    long extraDelay;
    /** Losses per thousand messages on single links, in one direction. */
    final Map<Long, Integer> linkLoss = new HashMap<>();
    /** The bandwidth of slow links in bits per second, in one direction. */
    final Map<Long, Integer> linkBitsPerSecond = new HashMap<>();
    /** Extra delay of single links, in one direction, in milliseconds; simulates a lagging receiver. */
    final Map<Long, Long> linkDelayMs = new HashMap<>();
    /** Bytes sent between zones so far, by message type. */
    final java.util.TreeMap<String, Long> crossZoneBytes = new java.util.TreeMap<>();

    SimulatedNetwork(final SimulatedCluster cluster) {
        this.cluster = cluster;
    }

    static long link(final int from, final int to) {
        return (long) from << 32 | to;
    }

    void cut(final int from, final int to) {
        cuts.add(link(from, to));
    }

    boolean isCut(final int from, final int to) {
        return !cuts.isEmpty() && cuts.contains(link(from, to));
    }

    boolean anyCut() {
        return !cuts.isEmpty();
    }

    void heal() {
        cuts.clear();
    }

    /** Breaks the session between two processes: messages in flight are lost, and both processes are notified. */
    void reset(final SimulatedProcess one, final SimulatedProcess other) {
        breakSession(one, other);
        breakSession(other, one);
    }

    private void breakSession(final SimulatedProcess from, final SimulatedProcess to) {
        resetAt.put(link(from.id, to.id), cluster.now());
        cluster.at(cluster.now() + 1, () -> to.run(p -> p.node.connectionLost(from.id, p.time())));
    }

    private boolean resetSince(final long link, final long sentAt) {
        return !resetAt.isEmpty() && resetAt.getOrDefault(link, -1L) >= sentAt;
    }

    /** Sends a message. Returns false if the receiver is not running, so that the sender knows at once. */
    boolean send(final SimulatedProcess from, final int to, final PeerMessage message) {
        final SimulatedProcess target = cluster.processes.get(to);
        if (target == null || !target.alive) {
            return false;
        }
        final byte[] frame = codec.encode(message);
        if (!from.zone.equals(target.zone)) {
            // Each frame is preceded by its length in four bytes.
            crossZoneBytes.merge(message.getClass().getSimpleName(), frame.length + LENGTH_PREFIX_BYTES, Long::sum);
        }
        from.sentMessages++;
        from.sentBytes += frame.length + LENGTH_PREFIX_BYTES;
        target.receivedBytes += frame.length + LENGTH_PREFIX_BYTES;
        final long link = link(from.id, to);
        // Virtual time has whole milliseconds, so half a millisecond is randomly rounded up or down.
        final int zoneDelay = from.zone.equals(target.zone)
                ? 0
                : (cluster.size.zoneDelayHalfMillis() + cluster.random.nextInt(2)) / 2;
        final long lag = linkDelayMs.isEmpty() ? 0 : linkDelayMs.getOrDefault(link, 0L);
        long delay = zoneDelay + extraDelay + lag + (cluster.random.nextInt(4) == 0 ? 1 : 0);
        if (cluster.random.nextInt(1000)
                < Math.max(lossPerThousand, linkLoss.isEmpty() ? 0 : linkLoss.getOrDefault(link, 0))) {
            // To the layers above, a lost packet arrives late, and everything sent after it waits.
            delay += 200L << cluster.random.nextInt(2);
        }
        final long at =
                Math.max(lastAt.getOrDefault(link, 0L), cluster.now() + delay) + transmissionMs(link, frame.length);
        lastAt.put(link, at);
        deliver(from, from.incarnation, target, target.incarnation, link, frame, at, 0, cluster.now());
        return true;
    }

    /** The transmission time of a frame on a slow link, in milliseconds; 0 on other links. */
    private long transmissionMs(final long link, final int bytes) {
        final Integer bitsPerSecond = linkBitsPerSecond.isEmpty() ? null : linkBitsPerSecond.get(link);
        return bitsPerSecond == null ? 0 : bytes * 8_000L / bitsPerSecond;
    }

    private void deliver(
            final SimulatedProcess from,
            final long fromIncarnation,
            final SimulatedProcess to,
            final long toIncarnation,
            final long link,
            final byte[] frame,
            final long at,
            final int attempts,
            final long sentAt) {
        cluster.at(at, () -> {
            if (!to.alive || to.incarnation != toIncarnation || resetSince(link, sentAt)) {
                return;
            }
            if (cuts.contains(link)) {
                // After a short cut, what was sent arrives late and in order; a long cut breaks the session.
                if (attempts > 8 || !from.alive || from.incarnation != fromIncarnation) {
                    if (from.alive && from.incarnation == fromIncarnation) {
                        from.run(p -> p.node.connectionLost(to.id, p.time()));
                    }
                    return;
                }
                final long retryAt = cluster.now() + 250;
                lastAt.merge(link, retryAt, Math::max);
                deliver(from, fromIncarnation, to, toIncarnation, link, frame, retryAt, attempts + 1, sentAt);
                return;
            }
            // A session belongs to one incarnation of the sender; that of a newer one ends those of earlier ones.
            if (newestIncarnations.merge(link, fromIncarnation, Math::max) == fromIncarnation) {
                to.message(from.id, codec.decode(frame, 0, frame.length));
            }
        });
    }
}
