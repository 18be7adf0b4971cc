package brookpath.coordination.configuration;

import brookpath.state.record.Delta;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Encodes the newest version of one document for followers: as a delta for a follower with a recently sent version, in
 * full for any other. Keeps the versions that this leader has sent, bounded in number and bytes; nothing here is
 * replicated. Not thread-safe.
 */
public final class VersionUpdates {
    /** The update for a follower that has the newest version already. */
    public static final byte[] NO_UPDATE = new byte[0];

    /** The version of a document that does not exist yet, which no delta can be based on. */
    private static final long NO_DOCUMENT = 0;

    private static final int KEPT_VERSIONS = 16;
    private static final int KEPT_BYTES = 4 << 20;

    private final TreeMap<Long, byte[]> documents = new TreeMap<>();
    /** The updates to the newest version, by the version that the follower has. */
    private final Map<Long, byte[]> updates = new HashMap<>();

    private long bytes;

    /** Sets the newest version, which is sent from now on; a known version changes nothing. */
    public void setNewest(final long version, final byte[] document) {
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
    public boolean isNewest(final long version) {
        return !documents.isEmpty() && documents.lastKey() == version;
    }

    /** The update from the follower's version to the newest; {@link #NO_UPDATE} where it has that or a later one. */
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

    /** Discards all versions when the leadership ends. */
    public void clear() {
        documents.clear();
        updates.clear();
        bytes = 0;
    }
}
