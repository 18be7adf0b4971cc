package brookpath.testing.sim;

import brookpath.coordination.message.PeerMessage;
import brookpath.protocol.frame.FrameCodec;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The simulated network: ordered sessions with delay, cuts in one or both directions, and loss felt as late repeats.
 */
final class SimulatedNetwork {
    private static final long LENGTH_BYTES = 4;

    private final SimulatedCluster cluster;
    private final FrameCodec codec = new FrameCodec();
    private final Map<Long, Long> lastAt = new HashMap<>();
    private final Set<Long> cuts = new HashSet<>();
    /** The newest incarnation of the sender that was heard on each link. */
    private final Map<Long, Long> newestIncarnations = new HashMap<>();

    private final Map<Long, Long> resetAt = new HashMap<>();
    int lossPerThousand;
    long extraDelay;
    /** Loss of single links, in one direction. */
    final Map<Long, Integer> linkLoss = new HashMap<>();
    /** Links that carry no more than so many bits a second, in one direction. */
    final Map<Long, Integer> linkBitsPerSecond = new HashMap<>();
    /** How much later messages arrive on single links, in one direction, in milliseconds: a receiver that lags. */
    final Map<Long, Long> linkDelayMs = new HashMap<>();
    /** Bytes between zones so far, by what they were for. */
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

    /** Breaks the session between two processes: what is under way is lost, and both hear of it. */
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

    /** False where the sender knows at once that nothing left: the other process is not running. */
    boolean send(final SimulatedProcess from, final int to, final PeerMessage message) {
        final SimulatedProcess target = cluster.processes.get(to);
        if (target == null || !target.alive) {
            return false;
        }
        final byte[] frame = codec.encode(message);
        if (!from.zone.equals(target.zone)) {
            // why: four more bytes go on each frame, its length
            crossZoneBytes.merge(message.getClass().getSimpleName(), frame.length + LENGTH_BYTES, Long::sum);
        }
        from.sentMessages++;
        from.sentBytes += frame.length + LENGTH_BYTES;
        target.gotBytes += frame.length + LENGTH_BYTES;
        final long link = link(from.id, to);
        // why: virtual time has whole milliseconds, so half of one is one by turns
        final int zones = from.zone.equals(target.zone)
                ? 0
                : (cluster.size.zoneDelayHalfMillis() + cluster.random.nextInt(2)) / 2;
        final long lag = linkDelayMs.isEmpty() ? 0 : linkDelayMs.getOrDefault(link, 0L);
        long delay = zones + extraDelay + lag + (cluster.random.nextInt(4) == 0 ? 1 : 0);
        if (cluster.random.nextInt(1000)
                < Math.max(lossPerThousand, linkLoss.isEmpty() ? 0 : linkLoss.getOrDefault(link, 0))) {
            // why: to those above, a lost packet is one that comes late, and everything behind it waits
            delay += 200L << cluster.random.nextInt(2);
        }
        final long at =
                Math.max(lastAt.getOrDefault(link, 0L), cluster.now() + delay) + transmission(link, frame.length);
        lastAt.put(link, at);
        arrive(from, from.incarnation, target, target.incarnation, link, frame, at, 0, cluster.now());
        return true;
    }

    /** How long a slow link is busy with a frame, in milliseconds. */
    private long transmission(final long link, final int bytes) {
        final Integer bitsPerSecond = linkBitsPerSecond.isEmpty() ? null : linkBitsPerSecond.get(link);
        return bitsPerSecond == null ? 0 : bytes * 8_000L / bitsPerSecond;
    }

    private void arrive(
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
                // why: a short cut delays, and what was sent arrives late and in order; a long one breaks the session
                if (attempts > 8 || !from.alive || from.incarnation != fromIncarnation) {
                    if (from.alive && from.incarnation == fromIncarnation) {
                        from.run(p -> p.node.connectionLost(to.id, p.time()));
                    }
                    return;
                }
                final long again = cluster.now() + 250;
                lastAt.merge(link, again, Math::max);
                arrive(from, fromIncarnation, to, toIncarnation, link, frame, again, attempts + 1, sentAt);
                return;
            }
            // why: a session is with one incarnation, and a newer one's ends those of the incarnations before it
            if (newestIncarnations.merge(link, fromIncarnation, Math::max) == fromIncarnation) {
                to.message(from.id, codec.decode(frame, 0, frame.length));
            }
        });
    }
}
