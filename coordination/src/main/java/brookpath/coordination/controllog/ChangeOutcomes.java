package brookpath.coordination.controllog;

import static java.nio.charset.StandardCharsets.UTF_8;

import brookpath.state.record.PackedBuffer;
import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What became of the newest changes that took effect, by the digest of their IDs. Refused documents leave nothing here,
 * so that no number of them pushes out a change that somebody may still send again.
 */
public final class ChangeOutcomes {
    private static final int KEPT = 4_096;
    /** The status by which the format of earlier releases marks a change that took effect. */
    private static final int STORED_TOOK_EFFECT = 200;

    /**
     * A change that took effect.
     *
     * @param index its record in the control log
     * @param checksum of its document
     * @param version that it made
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

    /** Null where no change of this ID took effect, or only one that is long past. */
    public Outcome of(final String changeId) {
        return outcomes.get(ChangeKey.of(changeId));
    }

    void add(final String changeId, final Outcome outcome) {
        add(ChangeKey.of(changeId), outcome);
    }

    private void add(final ChangeKey key, final Outcome outcome) {
        outcomes.put(key, outcome);
        if (outcomes.size() > KEPT) {
            outcomes.remove(outcomes.keySet().iterator().next());
        }
    }

    void save(final PackedBuffer buffer) {
        buffer.num(outcomes.size());
        outcomes.forEach((key, o) ->
                buffer.num(key.high).num(key.low).num(o.index).num(o.checksum).num(o.version));
    }

    void load(final PackedBuffer in) {
        for (long n = in.num(); n > 0; n--) {
            add(new ChangeKey(in.num(), in.num()), new Outcome(in.num(), in.num(), in.num()));
        }
    }

    /** Loads the format of earlier releases, which kept refusals and their findings as well. */
    void loadWithRefusals(final PackedBuffer in, final long count) {
        for (long n = count; n > 0; n--) {
            final long index = in.num();
            final String changeId = in.str();
            final long checksum = in.num();
            final long status = in.num();
            final long version = in.num();
            in.bytes();
            if (status == STORED_TOOK_EFFECT) {
                add(changeId, new Outcome(index, checksum, version));
            }
        }
    }
}
