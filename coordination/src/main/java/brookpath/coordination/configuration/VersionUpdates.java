package brookpath.coordination.configuration;

import brookpath.state.record.Delta;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Brings the newest version of one document to followers: to one that has a version which was sent lately, as the
 * difference from that; to any other, whole. Holds the versions that this leader has sent, bounded in number and bytes;
 * nothing of it is replicated. Not thread-safe.
 */
public final class VersionUpdates {
    /** What a follower gets that has the newest version already. */
    public static final byte[] NO_NEWS = new byte[0];

    /** The version of a document that does not exist yet: nobody has it, so nothing is a difference from it. */
    private static final long NO_DOCUMENT = 0;

    private static final int KEPT_VERSIONS = 16;
    private static final int KEPT_BYTES = 4 << 20;

    private final TreeMap<Long, byte[]> documents = new TreeMap<>();
    /** The updates to the newest version, by the version that the follower has. */
    private final Map<Long, byte[]> updates = new HashMap<>();

    private long bytes;

    /** The newest version, which is sent from now on; one that is known already changes nothing. */
    public void newest(final long version, final byte[] document) {
        if (version == NO_DOCUMENT || documents.containsKey(version)) {
            return;
        }
        documents.put(version, document);
        bytes += document.length;
        updates.clear();
        while (documents.size() > 1 && (documents.size() > KEPT_VERSIONS || bytes > KEPT_BYTES)) {
            bytes -= documents.pollFirstEntry().getValue().length;
        }
    }

    /** Whether this version is the newest. */
    public boolean has(final long version) {
        return !documents.isEmpty() && documents.lastKey() == version;
    }

    /** What turns the follower's version into the newest; {@link #NO_NEWS} where it has that or a later one. */
    public byte[] since(final long version) {
        return documents.isEmpty() || version >= documents.lastKey()
                ? NO_NEWS
                : updates.computeIfAbsent(version, this::update);
    }

    private byte[] update(final long version) {
        final byte[] newest = documents.lastEntry().getValue();
        final byte[] base = documents.get(version);
        return base == null ? Delta.whole(newest) : Delta.between(base, newest);
    }

    /** Forgets what was sent, as one that is no longer the leader. */
    public void clear() {
        documents.clear();
        updates.clear();
        bytes = 0;
    }
}
