package brookpath.testing.oracle;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** What callers saw, and whether it may be so. Knows nothing of the system's insides. */
public final class History {
    /** One message as its sender knows it. */
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
        final Map<String, Long> from = new HashMap<>();
        final Set<String> got = new HashSet<>();
        final Map<String, List<String>> spaceOrder = new HashMap<>();
        public int delivered;
        boolean subscribed;
        /** False once its key was taken away or it came back too late: it may then have missed something. */
        public boolean expectsAllMessages = true;

        /** The topics that the subscriber listens to. */
        public Set<String> topics() {
            return topics;
        }

        /** Whether the subscriber got this message. */
        public boolean has(final Sent s) {
            return got.contains(id(s.topic, s.sender, s.seq));
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
    /** What was reported of usage. */
    public final UsageLedger usage = new UsageLedger(this);

    /** Notes that something was seen that may not be so; only the first ones are kept. */
    public void violation(final long now, final String what) {
        if (violations.size() < MAX_VIOLATIONS) {
            violations.add(now + ": " + what);
        }
    }

    /** The violations so far, each with its virtual time in milliseconds. */
    public List<String> violations() {
        return violations;
    }

    /** Messages whose senders were told that they are committed. */
    public int committed() {
        return committed;
    }

    /** Deliveries to all listeners together. */
    public int delivered() {
        return listeners.stream().mapToInt(l -> l.delivered).sum();
    }

    /** Times from commit to delivery, in milliseconds. */
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

    /** A message is about to be sent; a retry gives the message of the first attempt. */
    public Sent sending(final String topic, final String sender, final long seq, final String text) {
        return sent.computeIfAbsent(id(topic, sender, seq), k -> new Sent(topic, sender, seq, text));
    }

    /** A sender was told that its message is committed at this position. */
    public void committed(final long now, final Sent s, final long position) {
        if (s.committedAt < 0) {
            s.committedAt = now;
            s.position = position;
            committed++;
            final String other = byPosition.put(s.topic + "@" + position, id(s.topic, s.sender, s.seq));
            if (other != null && !other.equals(id(s.topic, s.sender, s.seq))) {
                violation(
                        now,
                        "position " + position + " of " + s.topic + " was given to " + other + " and to "
                                + id(s.topic, s.sender, s.seq));
            }
        } else if (s.position != position) {
            violation(
                    now, id(s.topic, s.sender, s.seq) + " was accepted at " + s.position + " and then at " + position);
        }
    }

    /** Adds a listener to these topics. */
    public Listener listener(final String name, final Set<String> topics) {
        final Listener l = new Listener(name, topics);
        listeners.add(l);
        return l;
    }

    /** The first cursor: what is committed from here on must arrive. */
    public void subscribedAt(final long now, final Listener l, final Map<String, Long> at) {
        if (!l.subscribed) {
            l.subscribed = true;
            l.from.putAll(at);
        }
    }

    /** A line that came before any cursor line: that position, at the latest, is where it began. */
    public void subscribedAtOrBefore(final long now, final Listener l, final String topic, final long position) {
        if (!l.subscribed) {
            l.from.merge(topic, position - 1, Math::min);
        }
    }

    /**
     * A message as a listener got it.
     *
     * @param one whether the topic's space promises one order over all its topics
     * @param listeningSince since when the listener has been there, for its latency; negative where that is not checked
     */
    public void delivered(
            final long now,
            final Listener l,
            final String topic,
            final long position,
            final String sender,
            final long seq,
            final String text,
            final boolean one,
            final long listeningSince) {
        final String id = id(topic, sender, seq);
        final Sent s = sent.get(id);
        l.delivered++;
        if (!l.topics.contains(topic)) {
            violation(now, l.name + " got " + id + " on a topic that it never asked for");
        }
        if (s == null || !s.text.equals(text)) {
            violation(now, l.name + " got " + id + " that nobody sent so");
            return;
        }
        if (!l.got.add(id)) {
            violation(now, l.name + " got " + id + " twice");
        }
        checkOrder(now, l, topic, position, sender, seq);
        checkPosition(now, topic, position, id);
        if (one) {
            l.spaceOrder
                    .computeIfAbsent(topic.substring(0, topic.indexOf('/')), k -> new ArrayList<>())
                    .add(id);
        }
        // who was away when it was committed gets it on coming back, which says nothing of the delivery
        if (s.committedAt >= listeningSince && listeningSince >= 0) {
            latencies.add(now - s.committedAt);
        }
    }

    /** A sender's sequences and a topic's positions rise. */
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

    /** A position holds the same message for everyone. */
    private void checkPosition(final long now, final String topic, final long position, final String id) {
        final String other = byPosition.putIfAbsent(topic + "@" + position, id);
        if (other != null && !other.equals(id)) {
            violation(
                    now,
                    "position " + position + " of " + topic + " is " + other + " for one and " + id + " for another");
        }
    }

    /** Told that it is too late to resume: only right where something that it missed was older than the space keeps. */
    public void resumeRefused(final long now, final Listener l, final long keepingMs) {
        long oldest = Long.MAX_VALUE;
        for (final Sent s : sent.values()) {
            if (l.topics.contains(s.topic) && !l.has(s)) {
                if (s.committedAt >= 0 && s.position > l.from.getOrDefault(s.topic, Long.MAX_VALUE)) {
                    oldest = Math.min(oldest, s.committedAt);
                } else if (s.committedAt < 0 && s.maybeAppended) {
                    // it may be in the log all the same, and no later than this
                    oldest = Math.min(oldest, s.sentAt);
                }
            }
        }
        if (now - oldest < keepingMs) {
            violation(
                    now,
                    l.name + " could not resume, though the oldest that it missed was " + (now - oldest) + " ms old");
        }
    }

    /** After all is quiet: every committed message has reached everyone who listened, and one-order spaces agree. */
    public void settle(final long now) {
        for (final Listener l : listeners) {
            if (!l.subscribed) {
                continue;
            }
            for (final String id : l.got) {
                // only now are all responses in; a message may reach a listener before its sender hears of it
                final Sent s = sent.get(id);
                if (!s.maybeAppended && s.committedAt < 0) {
                    violation(now, l.name + " got " + id + " that was refused every time");
                }
            }
            for (final Sent s : sent.values()) {
                if (l.expectsAllMessages
                        && s.committedAt >= 0
                        && l.topics.contains(s.topic)
                        && s.position > l.from.getOrDefault(s.topic, Long.MAX_VALUE)
                        && !l.got.contains(id(s.topic, s.sender, s.seq))) {
                    violation(
                            now,
                            l.name + " never got accepted " + id(s.topic, s.sender, s.seq) + " at " + s.position
                                    + ", accepted at time " + s.committedAt + "; it began at " + l.from.get(s.topic));
                }
            }
        }
        for (int i = 0; i < listeners.size(); i++) {
            for (int j = i + 1; j < listeners.size(); j++) {
                sameOrder(now, listeners.get(i), listeners.get(j));
            }
        }
    }

    private void sameOrder(final long now, final Listener a, final Listener b) {
        for (final String space : a.spaceOrder.keySet()) {
            final List<String> x = new ArrayList<>(a.spaceOrder.get(space));
            final List<String> y = new ArrayList<>(b.spaceOrder.getOrDefault(space, List.of()));
            x.retainAll(new HashSet<>(y));
            y.retainAll(new HashSet<>(x));
            if (!x.equals(y)) {
                violation(now, a.name + " and " + b.name + " saw two orders in space " + space);
            }
        }
    }

    // ---- configurations

    /** A change was confirmed as this version: no other may be. */
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
