package brookpath.coordination.configuration;

import brookpath.state.record.Delta;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Encodes the newest version of one document for followers: as a delta for a follower that has a recently sent version,
 * in full for any other. Keeps the recent versions that this leader has sent, limited in number and total size; nothing
 * here is replicated. Not thread-safe.
 */
public final class VersionUpdates {
    /** The update for a follower that already has the newest version. */
    public static final byte[] NO_UPDATE = new byte[0];

    /** The version of a document that does not exist yet, which no delta can be based on. */
    private static final long NO_DOCUMENT = 0;

    private static final int MAX_VERSIONS = 16;
    private static final int MAX_BYTES = 4 << 20;

    private final TreeMap<Long, byte[]> documents = new TreeMap<>();
    /** Encoded updates to the newest version, by the version that the follower has. */
    private final Map<Long, byte[]> updates = new HashMap<>();

    private long totalBytes;

    /** Sets the newest version, which is sent from now on. A version that is already kept is ignored. */
    public void setNewest(final long version, final byte[] document) {
        if (version == NO_DOCUMENT || documents.containsKey(version)) {
            return;
        }
        documents.put(version, document);
        totalBytes += document.length;
        updates.clear();
        while (documents.size() > 1 && (documents.size() > MAX_VERSIONS || totalBytes > MAX_BYTES)) {
            totalBytes -= documents.pollFirstEntry().getValue().length;
        }
    }

    /** Whether this version is the newest. */
    public boolean isNewest(final long version) {
        return !documents.isEmpty() && documents.lastKey() == version;
    }

    /**
     * The update from the follower's version to the newest; {@link #NO_UPDATE} if it already has that or a later one.
     */
    public byte[] updateFrom(final long version) {
        return documents.isEmpty() || version >= documents.lastKey()
                ? NO_UPDATE
                : updates.computeIfAbsent(version, this::update);
    }

    private byte[] update(final long version) {
        final byte[] newest = documents.lastEntry().getValue();
        final byte[] base = documents.get(version);
        return base == null ? Delta.full(newest) : Delta.between(base, newest);
    }

    /** Discards all versions; called when the leadership ends. */
    public void clear() {
        documents.clear();
        updates.clear();
        totalBytes = 0;
    }
}
