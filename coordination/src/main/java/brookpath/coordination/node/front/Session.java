package brookpath.coordination.node.front;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A caller's session and what it listens to. */
final class Session {
    /** Topics of one group that the session reads together: catching up alone until they meet the group's feed. */
    static final class Part {
        final int group;
        /** Per topic the position that the session has; -1 until the one to begin at is known. */
        final TreeMap<String, Long> at = new TreeMap<>();

        boolean live;
        boolean tail;
        long fetchId;
        int source;
        long sentAt;
        /** Who waits for the first word on the topic; 0 for nobody. */
        long answerTo;

        final long horizon;

        Part(final int group, final long answerTo, final long horizon) {
            this.group = group;
            this.answerTo = answerTo;
            this.horizon = horizon;
        }

        boolean knowsPositions() {
            return !at.containsValue(-1L);
        }

        /** Of a topic that was joined by itself. */
        String topic() {
            return at.firstKey();
        }

        long position() {
            return at.firstEntry().getValue();
        }

        /** Nothing up to there is missing any more. */
        void reached(final long position) {
            at.replaceAll((topic, was) -> Math.max(was, position));
        }
    }

    final long id;
    final String key;
    /** All topics at once and one cursor over them, in lines; else they come and go, each with its own. */
    final boolean whole;

    private final TreeMap<String, Part> byTopic = new TreeMap<>();
    final long horizon;
    boolean begun;
    long lastLineAt;
    long leaveAt = Long.MAX_VALUE;

    Session(final long id, final String key, final boolean whole, final long horizon) {
        this.id = id;
        this.key = key;
        this.whole = whole;
        this.horizon = horizon;
    }

    void add(final Part p) {
        p.at.keySet().forEach(topic -> byTopic.put(topic, p));
    }

    void remove(final Part p) {
        p.at.keySet().forEach(byTopic::remove);
    }

    Part part(final String topic) {
        return byTopic.get(topic);
    }

    int topics() {
        return byTopic.size();
    }

    /** A copy, each part once. */
    List<Part> parts() {
        final List<Part> parts = new ArrayList<>();
        byTopic.values().forEach(p -> {
            // why: few parts, and those of one group lie next to each other only by chance
            if (!parts.contains(p)) {
                parts.add(p);
            }
        });
        return parts;
    }

    boolean allLive() {
        return byTopic.values().stream().allMatch(p -> p.live);
    }

    boolean knowsAllPositions() {
        return byTopic.values().stream().allMatch(Part::knowsPositions);
    }

    /** The position of each topic, for the cursor of a whole session. */
    Map<String, Long> positions() {
        final TreeMap<String, Long> at = new TreeMap<>();
        byTopic.forEach((topic, p) -> at.put(topic, p.at.get(topic)));
        return at;
    }
}
