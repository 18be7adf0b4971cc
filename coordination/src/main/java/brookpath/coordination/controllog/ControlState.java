package brookpath.coordination.controllog;

import brookpath.coordination.configuration.StoredConfiguration;
import brookpath.coordination.group.LogState;
import brookpath.coordination.metadata.ClusterMetadata;
import brookpath.state.record.Delta;
import brookpath.state.record.LogRecord;
import brookpath.state.record.PackedBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The state derived from the control log: the configurations, the cluster metadata, the outcomes of changes, and the
 * usage totals.
 */
public final class ControlState implements LogState {
    /** A configuration, with its document in full. */
    public static final int CONFIGURATION = 1;
    /** A refused change. Written by earlier releases; ignored. */
    private static final int REFUSAL = 2;

    /** The cluster metadata. */
    public static final int METADATA = 3;
    /** The usage of a window. */
    public static final int USAGE = 4;
    /** The platform has accepted a window's usage, or its report was abandoned. */
    public static final int DELIVERED = 5;
    /** A configuration whose document is stored as a delta to the one in the preceding configuration record. */
    public static final int CONFIGURATION_DELTA = 6;

    /** The most windows for which totals are kept that the platform has not accepted. */
    private static final int KEPT_WINDOWS = 360;

    /** The most windows for which totals are kept after their report, so that operators can read what was reported. */
    private static final int KEPT_DELIVERED_WINDOWS = 64;

    /** The number and the bytes of the newest committed records that are kept in memory for lagging followers. */
    private static final int KEPT_RECORDS = 256;
    /** Marks the present format of the saved state; earlier formats have the number of outcomes in its place. */
    private static final long COMPACT_OUTCOMES = -2;

    private static final int KEPT_BYTES = 1 << 20;

    /**
     * A tenant's part of a window's total.
     *
     * @param late whether it includes counts from earlier windows
     */
    public record TenantUsage(String tenant, long publishes, long bytes, boolean late) {}

    /** The usage of one window, as a record of the control log holds it. */
    public record Window(long index, long window, List<TenantUsage> used) {}

    private final TreeMap<Long, Window> windows = new TreeMap<>();
    private final TreeMap<Long, Boolean> deliveries = new TreeMap<>();
    private final TreeMap<Integer, Long> included = new TreeMap<>();
    private final CommittedVersions<StoredConfiguration> configurations = new CommittedVersions<>();
    private final CommittedVersions<ClusterMetadata> metadatas = new CommittedVersions<>();
    private final ChangeOutcomes outcomes = new ChangeOutcomes();
    private final Retirements retirements = new Retirements();

    /** The body of a record with a configuration, with its document in full. */
    public static byte[] configurationBody(
            final String changeId, final long checksum, final long version, final byte[] document) {
        return configurationBody(CONFIGURATION, changeId, checksum, version, document);
    }

    /**
     * The body of a record with a configuration: a delta to the newest one in the log, or the document in full where
     * that is no longer than the delta.
     *
     * @param newest the result of {@link #configurationAt} for the end of the log that the record is appended to
     */
    public static byte[] configurationBody(
            final StoredConfiguration newest,
            final String changeId,
            final long checksum,
            final long version,
            final byte[] document) {
        final byte[] delta = Delta.between(newest.document(), document);
        return delta.length < document.length
                ? configurationBody(CONFIGURATION_DELTA, changeId, checksum, version, delta)
                : configurationBody(CONFIGURATION, changeId, checksum, version, document);
    }

    private static byte[] configurationBody(
            final int kind, final String changeId, final long checksum, final long version, final byte[] content) {
        return PackedBuffer.writer()
                .putLong(kind)
                .putString(changeId)
                .putLong(checksum)
                .putLong(version)
                .putBytes(content)
                .toByteArray();
    }

    /** The body of a record with the cluster metadata. */
    public static byte[] metadataBody(final ClusterMetadata metadata) {
        return PackedBuffer.writer().putLong(METADATA).putBytes(metadata.save()).toByteArray();
    }

    /**
     * The body of a record with the usage of a window.
     *
     * @param upTo the newest window of each group that the totals include with this record
     */
    public static byte[] usageBody(final long window, final List<TenantUsage> used, final Map<Integer, Long> upTo) {
        final PackedBuffer buffer = PackedBuffer.writer().putLong(USAGE);
        packWindow(buffer, new Window(0, window, used));
        buffer.putLong(upTo.size());
        upTo.forEach((g, w) -> buffer.putLong(g).putLong(w));
        return buffer.toByteArray();
    }

    /** The body of a record with the outcome of a window's report. */
    public static byte[] deliveredBody(final long window, final boolean delivered) {
        return PackedBuffer.writer()
                .putLong(DELIVERED)
                .putLong(window)
                .putLong(delivered ? 1 : 0)
                .toByteArray();
    }

    private static void packWindow(final PackedBuffer buffer, final Window w) {
        buffer.putLong(w.window).putLong(w.used.size());
        w.used.forEach(u ->
                buffer.putString(u.tenant).putLong(u.publishes).putLong(u.bytes).putLong(u.late ? 1 : 0));
    }

    private static Window unpackWindow(final long index, final PackedBuffer in) {
        final long window = in.getLong();
        final List<TenantUsage> used = new ArrayList<>();
        for (long n = in.getLong(); n > 0; n--) {
            used.add(new TenantUsage(in.getString(), in.getLong(), in.getLong(), in.getLong() == 1));
        }
        return new Window(index, window, List.copyOf(used));
    }

    private void addWindow(final Window w) {
        windows.put(w.window, w);
        if (windows.size() > KEPT_WINDOWS) {
            deliveries.remove(windows.pollFirstEntry().getKey());
        }
    }

    private void recordDelivery(final long window, final boolean delivered) {
        deliveries.put(window, delivered);
        if (deliveries.size() > KEPT_DELIVERED_WINDOWS) {
            windows.remove(deliveries.pollFirstEntry().getKey());
        }
    }

    /** The newest window that has a total; -1 if there is none. */
    public long lastWindow() {
        return windows.isEmpty() ? -1 : windows.lastKey();
    }

    /** The newest window of a group that the totals include; -1 if there is none. */
    public long included(final int group) {
        return included.getOrDefault(group, -1L);
    }

    /** The windows up to a position of the log whose reports are neither accepted by the platform nor abandoned. */
    public List<Window> undelivered(final long position) {
        return windows.values().stream()
                .filter(w -> w.index <= position && !deliveries.containsKey(w.window))
                .toList();
    }

    /** The totals that are kept, oldest first. */
    public Iterable<Window> windows() {
        return windows.values();
    }

    /**
     * Whether the platform accepted the window's report; null while that is undecided, false where the report was
     * abandoned.
     */
    public Boolean deliveryOutcome(final long window) {
        return deliveries.get(window);
    }

    @Override
    public void apply(final LogRecord logRecord) {
        if (logRecord.kind() != LogRecord.CONTROL) {
            return;
        }
        final PackedBuffer in = PackedBuffer.reader(logRecord.body());
        final int kind = (int) in.getLong();
        switch (kind) {
            case CONFIGURATION, CONFIGURATION_DELTA -> {
                final String changeId = in.getString();
                final long checksum = in.getLong();
                final long version = in.getLong();
                final byte[] content = in.getBytes();
                addConfiguration(
                        logRecord.index(), version, kind == CONFIGURATION ? content : applyDelta(logRecord, content));
                outcomes.add(changeId, new ChangeOutcomes.Outcome(logRecord.index(), checksum, version));
            }
            case REFUSAL -> {
                // Ignored, since a refusal can be derived from the document and the records committed before it
            }
            case METADATA -> {
                final ClusterMetadata metadata = ClusterMetadata.load(in.getBytes());
                metadatas.add(logRecord.index(), metadata);
                retirements.apply(logRecord.index(), metadata);
            }
            case USAGE -> {
                addWindow(unpackWindow(logRecord.index(), in));
                for (long n = in.getLong(); n > 0; n--) {
                    included.put((int) in.getLong(), in.getLong());
                }
            }
            case DELIVERED -> recordDelivery(in.getLong(), in.getLong() == 1);
            default -> throw new IllegalStateException("unknown control record at " + logRecord.index());
        }
    }

    /** The document of a record that holds a delta to the preceding one in the log. */
    private byte[] applyDelta(final LogRecord logRecord, final byte[] delta) {
        try {
            return Delta.apply(configurationAt(Long.MAX_VALUE).document(), delta);
        } catch (final Delta.MismatchException ex) {
            // The records before this one determine the base, and each has its own checksum
            throw new IllegalStateException(
                    "configuration record at " + logRecord.index() + ": " + ex.getMessage(), ex);
        }
    }

    private void addConfiguration(final long index, final long version, final byte[] document) {
        configurations.add(index, new StoredConfiguration(index, version, document));
    }

    @Override
    public void committed(final long index) {
        configurations.markCommitted(index);
        metadatas.markCommitted(index);
    }

    /** The newest configuration at or before the position, which must not precede the newest committed record. */
    public StoredConfiguration configurationAt(final long index) {
        return configurations.newestAt(index, StoredConfiguration.NONE);
    }

    /** Like {@link #configurationAt}, for the cluster metadata. */
    public ClusterMetadata metadataAt(final long index) {
        return metadatas.newestAt(index, ClusterMetadata.NONE);
    }

    /** The number of configurations and cluster metadata that were appended after the position. */
    public int appendedAfter(final long index) {
        return configurations.countAfter(index) + metadatas.countAfter(index);
    }

    /** The outcomes of the newest changes. */
    public ChangeOutcomes outcomes() {
        return outcomes;
    }

    /** The storage nodes that were ordered to retire. */
    public Retirements retirements() {
        return retirements;
    }

    @Override
    public void trimmed(final LogRecord logRecord) {
        // The control log is not read by position, so trimmed records need no bookkeeping
    }

    @Override
    public boolean keepsByAge() {
        return false;
    }

    @Override
    public boolean keeps(final LogRecord logRecord, final long now, final int newerRecords, final long newerBytes) {
        // Bounded by count and size, not by age, so that a series of large changes cannot exhaust the memory. Followers
        // that lag further behind get a snapshot
        return newerRecords < KEPT_RECORDS && newerBytes < KEPT_BYTES;
    }

    @Override
    public byte[] save() {
        final PackedBuffer buffer =
                PackedBuffer.writer().putLong(configurations.all().size());
        configurations
                .all()
                .forEach(s -> buffer.putLong(s.index())
                        .putLong(s.value().version())
                        .putBytes(s.value().document()));
        buffer.putLong(metadatas.all().size());
        metadatas
                .all()
                .forEach(r -> buffer.putLong(r.index()).putBytes(r.value().save()));
        buffer.putLong(windows.size());
        windows.values().forEach(w -> packWindow(buffer.putLong(w.index), w));
        buffer.putLong(deliveries.size());
        deliveries.forEach((w, delivered) -> buffer.putLong(w).putLong(delivered ? 1 : 0));
        buffer.putLong(included.size());
        included.forEach((g, w) -> buffer.putLong(g).putLong(w));
        outcomes.save(buffer.putLong(COMPACT_OUTCOMES));
        retirements.save(buffer);
        return buffer.toByteArray();
    }

    @Override
    public void load(final byte[] saved) {
        final PackedBuffer in = PackedBuffer.reader(saved);
        for (long n = in.getLong(); n > 0; n--) {
            addConfiguration(in.getLong(), in.getLong(), in.getBytes());
        }
        for (long n = in.getLong(); n > 0; n--) {
            metadatas.add(in.getLong(), ClusterMetadata.load(in.getBytes()));
        }
        for (long n = in.getLong(); n > 0; n--) {
            addWindow(unpackWindow(in.getLong(), in));
        }
        for (long n = in.getLong(); n > 0; n--) {
            recordDelivery(in.getLong(), in.getLong() == 1);
        }
        for (long n = in.getLong(); n > 0; n--) {
            included.put((int) in.getLong(), in.getLong());
        }
        loadOutcomesAndRetirements(in);
    }

    private void loadOutcomesAndRetirements(final PackedBuffer in) {
        final long format = in.getLong();
        if (format == COMPACT_OUTCOMES) {
            outcomes.load(in);
            retirements.load(in);
        } else {
            outcomes.loadWithRefusals(in, format);
            metadatas.all().forEach(r -> retirements.apply(r.index(), r.value()));
        }
    }
}
