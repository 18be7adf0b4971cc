package brookpath.coordination.node.storage;

import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.message.PeerMessage.Fetch;
import brookpath.coordination.message.PeerMessage.TopicPosition;
import brookpath.coordination.topic.TopicState;
import brookpath.state.record.LogRecord;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** One pass over the committed part of a group's log for one fetch, up to a bound on the bytes of a reply. */
final class FetchScan {
    private static final int MAX_BYTES = 256 << 10;

    private final GroupMachine group;
    /** The topics of a long poll, which are all read from one position; null for other fetches. */
    private final Set<String> longPollTopics;
    /** The position after which each topic is read; empty for a long poll. */
    private final Map<String, Long> positions;
    /** The lowest position after which a topic is read. */
    private final long start;

    private final List<LogRecord> records = new ArrayList<>();
    private boolean damaged;
    private long scannedTo;

    private FetchScan(
            final GroupMachine group,
            final Set<String> longPollTopics,
            final Map<String, Long> positions,
            final long start) {
        this.group = group;
        this.longPollTopics = longPollTopics;
        this.positions = positions;
        this.start = start;
    }

    /** A scan for a long poll: all its topics from one position. */
    static FetchScan ofLongPoll(final GroupMachine group, final Set<String> topics, final long position) {
        return new FetchScan(group, topics, Map.of(), position);
    }

    /** A scan for a fetch that names a position for each topic. */
    static FetchScan ofPositions(final GroupMachine group, final Fetch fetch) {
        final Map<String, Long> positions = new HashMap<>();
        long start = Long.MAX_VALUE;
        for (final TopicPosition topic : fetch.topics()) {
            positions.put(topic.topic(), topic.from());
            start = Math.min(start, topic.from());
        }
        return new FetchScan(group, null, positions, start);
    }

    /** Reads the log from the lowest position on, and collects the records that the fetch requests. */
    void run() {
        long index = Math.max(start, group.baseIndex());
        int bytes = 0;
        while (index < group.committed() && bytes < MAX_BYTES) {
            final LogRecord logRecord = group.logRecord(++index);
            if (!group.isIntact(index)) {
                damaged = true;
                return;
            }
            if (logRecord.kind() == LogRecord.PUBLISH && isRequested(logRecord.topic(), index)) {
                records.add(logRecord);
                bytes += logRecord.bytes().length;
            }
        }
        scannedTo = Math.max(index, start);
    }

    private boolean isRequested(final String topic, final long index) {
        return longPollTopics == null
                ? index > positions.getOrDefault(topic, Long.MAX_VALUE)
                : longPollTopics.contains(topic);
    }

    /** Whether the scan has found a damaged record, whose repair has begun. */
    boolean isDamaged() {
        return damaged;
    }

    List<LogRecord> records() {
        return records;
    }

    /** The position up to which the records contain all that was requested. */
    long scannedTo() {
        return scannedTo;
    }

    /** The topics that have trimmed records after the requested position. */
    List<String> trimmedTopics() {
        final List<String> trimmed = new ArrayList<>();
        if (start >= group.baseIndex()) {
            // All records after the start of the log still exist; returning here avoids an iteration over all topics
            return trimmed;
        }
        final TopicState state = TopicGroups.stateOf(group);
        for (final String topic : longPollTopics == null ? positions.keySet() : longPollTopics) {
            if (state.trimmedThrough(topic) > positions.getOrDefault(topic, start)) {
                trimmed.add(topic);
            }
        }
        return trimmed;
    }
}
