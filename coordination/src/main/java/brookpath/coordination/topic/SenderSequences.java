package brookpath.coordination.topic;

import brookpath.state.record.PackedBuffer;
import java.util.ArrayDeque;
import java.util.Map;
import java.util.TreeMap;

/**
 * The sequences that each sender has appended to each topic with their log positions, and the position up to which each
 * topic was trimmed.
 */
final class SenderSequences {
    /** The number of each sender's newest messages that are recognized when they are repeated. */
    private static final int MAX_REMEMBERED = 256;

    /** A message as it was appended. */
    private record Appended(long seq, long position) {}

    private static final class Sender {
        long lastSeq;
        /** When the last message was appended, according to the timestamps in the log. */
        long lastStamp;

        final ArrayDeque<Appended> recent = new ArrayDeque<>();
    }

    private static final class Topic {
        long trimmedThrough;
        final TreeMap<String, Sender> senders = new TreeMap<>();
    }

    private final TreeMap<String, Topic> topics = new TreeMap<>();
    private int senderCount;

    /** The number of (topic, sender) pairs that are remembered. */
    int senderCount() {
        return senderCount;
    }

    /** The position of a repeat, {@link TopicState#NEW} or {@link TopicState#TOO_LOW}. */
    long lookUp(final String topic, final String name, final long seq) {
        final Topic known = topics.get(topic);
        final Sender sender = known == null ? null : known.senders.get(name);
        if (sender == null || seq > sender.lastSeq) {
            return TopicState.NEW;
        }
        for (final Appended appended : sender.recent) {
            if (appended.seq == seq) {
                return appended.position;
            }
        }
        return TopicState.TOO_LOW;
    }

    void add(final String topic, final String name, final long seq, final long position, final long stamp) {
        final Map<String, Sender> senders = topics.computeIfAbsent(topic, k -> new Topic()).senders;
        Sender sender = senders.get(name);
        if (sender == null) {
            sender = new Sender();
            senders.put(name, sender);
            senderCount++;
        }
        sender.lastSeq = seq;
        sender.lastStamp = stamp;
        sender.recent.addLast(new Appended(seq, position));
        if (sender.recent.size() > MAX_REMEMBERED) {
            sender.recent.removeFirst();
        }
    }

    /**
     * Removes the senders whose last message is older. Each topic keeps its trimmed position, a single number: without
     * it an outdated cursor would be accepted.
     */
    void forget(final long before) {
        for (final Topic topic : topics.values()) {
            final int was = topic.senders.size();
            topic.senders.values().removeIf(sender -> sender.lastStamp < before);
            senderCount -= was - topic.senders.size();
        }
    }

    /** The position of the topic's newest trimmed record; 0 for none. */
    long trimmedThrough(final String topic) {
        final Topic known = topics.get(topic);
        return known == null ? 0 : known.trimmedThrough;
    }

    void trimmed(final String topic, final long position) {
        topics.computeIfAbsent(topic, k -> new Topic()).trimmedThrough = position;
    }

    void save(final PackedBuffer buffer) {
        buffer.putLong(topics.size());
        topics.forEach((name, topic) -> {
            buffer.putString(name).putLong(topic.trimmedThrough).putLong(topic.senders.size());
            topic.senders.forEach((senderName, sender) -> save(buffer, senderName, sender));
        });
    }

    private static void save(final PackedBuffer buffer, final String name, final Sender sender) {
        buffer.putString(name).putLong(sender.lastSeq).putLong(sender.lastStamp).putLong(sender.recent.size());
        sender.recent.forEach(appended -> buffer.putLong(appended.seq).putLong(appended.position));
    }

    void load(final PackedBuffer in) {
        topics.clear();
        senderCount = 0;
        for (long left = in.getLong(); left > 0; left--) {
            final Topic topic = new Topic();
            topics.put(in.getString(), topic);
            topic.trimmedThrough = in.getLong();
            for (long senders = in.getLong(); senders > 0; senders--) {
                loadSender(in, topic);
            }
        }
    }

    private void loadSender(final PackedBuffer in, final Topic topic) {
        final Sender sender = new Sender();
        topic.senders.put(in.getString(), sender);
        sender.lastSeq = in.getLong();
        sender.lastStamp = in.getLong();
        senderCount++;
        for (long left = in.getLong(); left > 0; left--) {
            final long seq = in.getLong();
            final long position = in.getLong();
            sender.recent.add(new Appended(seq, position));
        }
    }
}
