package brookpath.coordination.controllog;

import static java.nio.charset.StandardCharsets.UTF_8;

import brookpath.state.record.PackedBuffer;
import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The outcomes of the newest changes that took effect, by the digest of their IDs. Refusals are not kept, so that they
 * cannot evict a change that its sender may still retry.
 */
public final class ChangeOutcomes {
    private static final int MAX_OUTCOMES = 4_096;
    /** The status that marks a change that took effect in the format of earlier releases. */
    private static final int STORED_TOOK_EFFECT = 200;

    /**
     * A change that took effect.
     *
     * @param index the index of its record in the control log
     * @param checksum the checksum of its document
     * @param version the configuration version that it created
     */
    public record Outcome(long index, long checksum, long version) {}

    /** The first half of a change ID's SHA-256. */
    private record ChangeKey(long high, long low) {
        static ChangeKey of(final String changeId) {
            try {
                final ByteBuffer digest =
                        ByteBuffer.wrap(MessageDigest.getInstance("SHA-256").digest(changeId.getBytes(UTF_8)));
                return new ChangeKey(digest.getLong(), digest.getLong());
            } catch (final NoSuchAlgorithmException ex) {
                throw new IllegalStateException(ex);
            }
        }
    }

    private final Map<ChangeKey, Outcome> outcomes = new LinkedHashMap<>();

    /** The outcome of the change with this ID; null if it did not take effect, or so long ago that it was evicted. */
    public Outcome of(final String changeId) {
        return outcomes.get(ChangeKey.of(changeId));
    }

    void add(final String changeId, final Outcome outcome) {
        add(ChangeKey.of(changeId), outcome);
    }

    private void add(final ChangeKey key, final Outcome outcome) {
        outcomes.put(key, outcome);
        if (outcomes.size() > MAX_OUTCOMES) {
            outcomes.remove(outcomes.keySet().iterator().next());
        }
    }

    void save(final PackedBuffer buffer) {
        buffer.putLong(outcomes.size());
        outcomes.forEach((key, o) -> buffer.putLong(key.high)
                .putLong(key.low)
                .putLong(o.index)
                .putLong(o.checksum)
                .putLong(o.version));
    }

    void load(final PackedBuffer in) {
        for (long n = in.getLong(); n > 0; n--) {
            add(new ChangeKey(in.getLong(), in.getLong()), new Outcome(in.getLong(), in.getLong(), in.getLong()));
        }
    }

    /** Loads the format of earlier releases, which kept refusals and their findings as well. */
    void loadWithRefusals(final PackedBuffer in, final long count) {
        for (long n = count; n > 0; n--) {
            final long index = in.getLong();
            final String changeId = in.getString();
            final long checksum = in.getLong();
            final long status = in.getLong();
            final long version = in.getLong();
            in.getBytes();
            if (status == STORED_TOOK_EFFECT) {
                add(changeId, new Outcome(index, checksum, version));
            }
        }
    }
}
