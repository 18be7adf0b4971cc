package brookpath.testing.oracle;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Records what callers saw and checks that it is valid, without knowledge of the system's internal state. */
public final class History {
    /** One message, as its sender knows it. */
    public static final class Sent {
        public final String topic;
        public final String sender;
        public final long seq;
        public final String text;
        public long position;
        /** When its first attempt began, in milliseconds. */
        public long sentAt;

        public long committedAt = -1;
        public boolean maybeAppended;
        public boolean abandoned;

        Sent(final String topic, final String sender, final long seq, final String text) {
            this.topic = topic;
            this.sender = sender;
            this.seq = seq;
            this.text = text;
        }
    }

    /** One listener across all its sessions. */
    public static final class Listener {
        final String name;
        final Set<String> topics;
        final Map<String, Long> lastPosition = new HashMap<>();
        final Map<String, Long> lastSeq = new HashMap<>();
        final Map<String, Long> startPositions = new HashMap<>();
        final Set<String> received = new HashSet<>();
        final Map<String, List<String>> receivedBySpace = new HashMap<>();
        public int delivered;
        boolean subscribed;
        /** False once its key was removed or it reconnected too late to resume, so that it may have missed messages. */
        public boolean expectsAllMessages = true;

        /** The topics that the subscriber listens to. */
        public Set<String> topics() {
            return topics;
        }

        /** Whether the subscriber got this message. */
        public boolean has(final Sent s) {
            return received.contains(id(s.topic, s.sender, s.seq));
        }

        Listener(final String name, final Set<String> topics) {
            this.name = name;
            this.topics = topics;
        }
    }

    private static final int MAX_VIOLATIONS = 40;

    private final Map<String, Sent> sent = new HashMap<>();
    private final Map<String, String> byPosition = new HashMap<>();
    private final List<Listener> listeners = new ArrayList<>();
    private final List<String> violations = new ArrayList<>();
    private final TreeMap<Long, String> confirmedConfigurations = new TreeMap<>();
    private final List<Long> latencies = new ArrayList<>();
    private int committed;
    /** The usage that was reported to the platform. */
    public final UsageLedger usage = new UsageLedger(this);

    /** Records a violation; only the first ones are kept. */
    public void violation(final long now, final String what) {
        if (violations.size() < MAX_VIOLATIONS) {
            violations.add(now + ": " + what);
        }
    }

    /** The violations so far, each with its virtual time in milliseconds. */
    public List<String> violations() {
        return violations;
    }

    /** How many messages were acknowledged to their senders as committed. */
    public int committed() {
        return committed;
    }

    /** The total number of deliveries to all listeners. */
    public int delivered() {
        return listeners.stream().mapToInt(l -> l.delivered).sum();
    }

    /** The times from commit to delivery, in milliseconds. */
    public List<Long> latencies() {
        return latencies;
    }

    static String id(final String topic, final String sender, final long seq) {
        return topic + "|" + sender + "|" + seq;
    }

    /** Every message that was sent, committed or not. */
    public Iterable<Sent> sent() {
        return sent.values();
    }

    /** Records that a message is about to be sent; a retry returns the message of the first attempt. */
    public Sent sending(final String topic, final String sender, final long seq, final String text) {
        return sent.computeIfAbsent(id(topic, sender, seq), k -> new Sent(topic, sender, seq, text));
    }

    /** Records that a sender received the acknowledgement that its message is committed at this position. */
    public void committed(final long now, final Sent s, final long position) {
        if (s.committedAt < 0) {
            s.committedAt = now;
            s.position = position;
            committed++;
            final String other = byPosition.put(s.topic + "@" + position, id(s.topic, s.sender, s.seq));
            if (other != null && !other.equals(id(s.topic, s.sender, s.seq))) {
                violation(
                        now,
                        "position " + position + " of " + s.topic + " was acknowledged for " + other + " and for "
                                + id(s.topic, s.sender, s.seq));
            }
        } else if (s.position != position) {
            violation(
                    now, id(s.topic, s.sender, s.seq) + " was committed at " + s.position + " and then at " + position);
        }
    }

    /** Adds a listener to these topics. */
    public Listener listener(final String name, final Set<String> topics) {
        final Listener l = new Listener(name, topics);
        listeners.add(l);
        return l;
    }

    /** Records the listener's first cursor: what is committed after it must be delivered. */
    public void subscribedAt(final long now, final Listener l, final Map<String, Long> at) {
        if (!l.subscribed) {
            l.subscribed = true;
            l.startPositions.putAll(at);
        }
    }

    /** Records a message that arrived before the first cursor: the subscription began at its position or before. */
    public void subscribedAtOrBefore(final long now, final Listener l, final String topic, final long position) {
        if (!l.subscribed) {
            l.startPositions.merge(topic, position - 1, Math::min);
        }
    }

    /**
     * Records that a listener received a message.
     *
     * @param totalOrder whether the topic's space guarantees one order over all its topics
     * @param listeningSince when the listener connected, for the latency; negative if the latency is not measured
     */
    public void delivered(
            final long now,
            final Listener l,
            final String topic,
            final long position,
            final String sender,
            final long seq,
            final String text,
            final boolean totalOrder,
            final long listeningSince) {
        final String id = id(topic, sender, seq);
        final Sent s = sent.get(id);
        l.delivered++;
        if (!l.topics.contains(topic)) {
            violation(now, l.name + " got " + id + " on a topic that it did not subscribe to");
        }
        if (s == null || !s.text.equals(text)) {
            violation(now, l.name + " got " + id + " that was not sent with this text");
            return;
        }
        if (!l.received.add(id)) {
            violation(now, l.name + " got " + id + " twice");
        }
        checkOrder(now, l, topic, position, sender, seq);
        checkPosition(now, topic, position, id);
        if (totalOrder) {
            l.receivedBySpace
                    .computeIfAbsent(topic.substring(0, topic.indexOf('/')), k -> new ArrayList<>())
                    .add(id);
        }
        // A listener that was not connected at the commit gets it on reconnecting, which is not a delivery latency.
        if (s.committedAt >= listeningSince && listeningSince >= 0) {
            latencies.add(now - s.committedAt);
        }
    }

    /** Checks that the sequence numbers of a sender and the positions of a topic increase. */
    private void checkOrder(
            final long now,
            final Listener l,
            final String topic,
            final long position,
            final String sender,
            final long seq) {
        final Long lastSeq = l.lastSeq.put(topic + "|" + sender, seq);
        if (lastSeq != null && lastSeq >= seq) {
            violation(now, l.name + " got sequence " + seq + " of " + topic + "|" + sender + " after " + lastSeq);
        }
        final Long lastPos = l.lastPosition.put(topic, position);
        if (lastPos != null && lastPos >= position) {
            violation(now, l.name + " got position " + position + " of " + topic + " after " + lastPos);
        }
    }

    /** Checks that a position holds the same message for all listeners. */
    private void checkPosition(final long now, final String topic, final long position, final String id) {
        final String other = byPosition.putIfAbsent(topic + "@" + position, id);
        if (other != null && !other.equals(id)) {
            violation(
                    now,
                    "position " + position + " of " + topic + " is " + other + " for one listener and " + id
                            + " for another");
        }
    }

    /** Checks a refused resume: it is valid only if a missed message was older than the retention of the space. */
    public void resumeRefused(final long now, final Listener l, final long retentionMs) {
        long oldest = Long.MAX_VALUE;
        for (final Sent s : sent.values()) {
            if (l.topics.contains(s.topic) && !l.has(s)) {
                if (s.committedAt >= 0 && s.position > l.startPositions.getOrDefault(s.topic, Long.MAX_VALUE)) {
                    oldest = Math.min(oldest, s.committedAt);
                } else if (s.committedAt < 0 && s.maybeAppended) {
                    // It may have been appended without an acknowledgement, but not before its first attempt began.
                    oldest = Math.min(oldest, s.sentAt);
                }
            }
        }
        if (now - oldest < retentionMs) {
            violation(
                    now,
                    l.name + " could not resume, although the oldest message that it missed was only " + (now - oldest)
                            + " ms old");
        }
    }

    /**
     * Checks, once all calls and deliveries are complete, that every committed message has reached each of its
     * listeners and that listeners agree on the order in spaces with one order.
     */
    public void settle(final long now) {
        for (final Listener l : listeners) {
            if (!l.subscribed) {
                continue;
            }
            for (final String id : l.received) {
                // Checked only at the end: a message may reach a listener before the response reaches its sender.
                final Sent s = sent.get(id);
                if (!s.maybeAppended && s.committedAt < 0) {
                    violation(now, l.name + " got " + id + " although every attempt to send it was refused");
                }
            }
            for (final Sent s : sent.values()) {
                if (l.expectsAllMessages
                        && s.committedAt >= 0
                        && l.topics.contains(s.topic)
                        && s.position > l.startPositions.getOrDefault(s.topic, Long.MAX_VALUE)
                        && !l.received.contains(id(s.topic, s.sender, s.seq))) {
                    violation(
                            now,
                            l.name + " never got committed " + id(s.topic, s.sender, s.seq) + " at " + s.position
                                    + ", committed at time " + s.committedAt + "; its subscription began at "
                                    + l.startPositions.get(s.topic));
                }
            }
        }
        for (int i = 0; i < listeners.size(); i++) {
            for (int j = i + 1; j < listeners.size(); j++) {
                checkSameOrder(now, listeners.get(i), listeners.get(j));
            }
        }
    }

    private void checkSameOrder(final long now, final Listener a, final Listener b) {
        for (final String space : a.receivedBySpace.keySet()) {
            final List<String> x = new ArrayList<>(a.receivedBySpace.get(space));
            final List<String> y = new ArrayList<>(b.receivedBySpace.getOrDefault(space, List.of()));
            x.retainAll(new HashSet<>(y));
            y.retainAll(new HashSet<>(x));
            if (!x.equals(y)) {
                violation(now, a.name + " and " + b.name + " received different orders in space " + space);
            }
        }
    }

    // ---- configurations

    /** Records that a change was confirmed as this version; no other change may be. */
    public void confirmed(final long now, final long version, final String changeId) {
        final String other = confirmedConfigurations.put(version, changeId);
        if (other != null && !other.equals(changeId)) {
            violation(now, "changes " + other + " and " + changeId + " were both confirmed as version " + version);
        }
    }

    /** The newest confirmed version; 0 for none. */
    public long newestConfirmed() {
        return confirmedConfigurations.isEmpty() ? 0 : confirmedConfigurations.lastKey();
    }

    /** The change that was confirmed as this version; null for none. */
    public String confirmedAs(final long version) {
        return confirmedConfigurations.get(version);
    }
}
