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

/** What follows from the control log: the configurations, the cluster metadata, and the outcome of each change. */
public final class ControlState implements LogState {
    /** A configuration in full. */
    public static final int CONFIGURATION = 1;
    /** Written by earlier releases; says nothing any more. */
    private static final int REFUSAL = 2;

    /** The cluster metadata. */
    public static final int METADATA = 3;
    /** The usage of a window. */
    public static final int USAGE = 4;
    /** That the platform has accepted a window's usage, or that it was given up. */
    public static final int DELIVERED = 5;
    /** A configuration as its difference from the one in the record of a configuration before it. */
    public static final int CONFIGURATION_DELTA = 6;

    /** Totals that the platform has not accepted yet are kept for as many windows. */
    private static final int KEPT_WINDOWS = 360;

    /** Totals that the platform has accepted are kept for as many windows, for those who ask what was reported. */
    private static final int KEPT_DELIVERED_WINDOWS = 64;

    /** So many committed records, and so many bytes of them, stay in memory for followers that lag. */
    private static final int KEPT_RECORDS = 256;
    /** Stands where earlier formats of the saved state have the number of outcomes. */
    private static final long COMPACT_OUTCOMES = -2;

    private static final int KEPT_BYTES = 1 << 20;

    /**
     * A tenant's part of a window's total.
     *
     * @param late counts from earlier windows among it
     */
    public record Used(String tenant, long publishes, long bytes, boolean late) {}

    /** The usage of one window, as a record of the control log holds it. */
    public record Window(long index, long window, List<Used> used) {}

    private final TreeMap<Long, Window> windows = new TreeMap<>();
    private final TreeMap<Long, Boolean> deliveries = new TreeMap<>();
    private final TreeMap<Integer, Long> included = new TreeMap<>();
    private final CommittedVersions<StoredConfiguration> configurations = new CommittedVersions<>();
    private final CommittedVersions<ClusterMetadata> metadatas = new CommittedVersions<>();
    private final ChangeOutcomes outcomes = new ChangeOutcomes();
    private final Retirements retirements = new Retirements();

    /** A configuration in full. */
    public static byte[] configurationBody(
            final String changeId, final long sum, final long version, final byte[] doc) {
        return configurationBody(CONFIGURATION, changeId, sum, version, doc);
    }

    /**
     * A configuration as its difference from the newest one in the log, or in full where that is no longer.
     *
     * @param newest what {@link #configurationAt} gives for the end of the log that the record is appended to
     */
    public static byte[] configurationBody(
            final StoredConfiguration newest,
            final String changeId,
            final long sum,
            final long version,
            final byte[] doc) {
        final byte[] delta = Delta.between(newest.doc(), doc);
        return delta.length < doc.length
                ? configurationBody(CONFIGURATION_DELTA, changeId, sum, version, delta)
                : configurationBody(CONFIGURATION, changeId, sum, version, doc);
    }

    private static byte[] configurationBody(
            final int kind, final String changeId, final long sum, final long version, final byte[] content) {
        return PackedBuffer.writer()
                .num(kind)
                .str(changeId)
                .num(sum)
                .num(version)
                .bytes(content)
                .done();
    }

    /** The body of a record with the cluster metadata. */
    public static byte[] metadataBody(final ClusterMetadata metadata) {
        return PackedBuffer.writer().num(METADATA).bytes(metadata.save()).done();
    }

    /** @param upTo per group, through which of its windows it is counted from now on */
    public static byte[] usageBody(final long window, final List<Used> used, final Map<Integer, Long> upTo) {
        final PackedBuffer buffer = PackedBuffer.writer().num(USAGE);
        packWindow(buffer, new Window(0, window, used));
        buffer.num(upTo.size());
        upTo.forEach((g, w) -> buffer.num(g).num(w));
        return buffer.done();
    }

    /** The body of a record that says what became of a window's report. */
    public static byte[] deliveredBody(final long window, final boolean delivered) {
        return PackedBuffer.writer()
                .num(DELIVERED)
                .num(window)
                .num(delivered ? 1 : 0)
                .done();
    }

    private static void packWindow(final PackedBuffer buffer, final Window w) {
        buffer.num(w.window).num(w.used.size());
        w.used.forEach(u -> buffer.str(u.tenant).num(u.publishes).num(u.bytes).num(u.late ? 1 : 0));
    }

    private static Window unpackWindow(final long index, final PackedBuffer in) {
        final long window = in.num();
        final List<Used> used = new ArrayList<>();
        for (long n = in.num(); n > 0; n--) {
            used.add(new Used(in.str(), in.num(), in.num(), in.num() == 1));
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

    /** The newest window that has a total, -1 for none. */
    public long lastWindow() {
        return windows.isEmpty() ? -1 : windows.lastKey();
    }

    /** Through which of its windows a group is counted, -1 for none. */
    public long included(final int group) {
        return included.getOrDefault(group, -1L);
    }

    /** Windows that the platform has not accepted yet. */
    public List<Window> undelivered(final long position) {
        return windows.values().stream()
                .filter(w -> w.index <= position && !deliveries.containsKey(w.window))
                .toList();
    }

    /** The totals that are kept, oldest first. */
    public Iterable<Window> windows() {
        return windows.values();
    }

    /** Null while it is on its way, false where it was given up. */
    public Boolean deliveryOutcome(final long window) {
        return deliveries.get(window);
    }

    @Override
    public void apply(final LogRecord logRecord) {
        if (logRecord.kind() != LogRecord.CONTROL) {
            return;
        }
        final PackedBuffer in = PackedBuffer.reader(logRecord.body());
        final int kind = (int) in.num();
        switch (kind) {
            case CONFIGURATION, CONFIGURATION_DELTA -> {
                final String changeId = in.str();
                final long sum = in.num();
                final long version = in.num();
                final byte[] content = in.bytes();
                addConfiguration(
                        logRecord.index(),
                        version,
                        kind == CONFIGURATION ? content : followingNewest(logRecord, content));
                outcomes.add(changeId, new ChangeOutcomes.Outcome(logRecord.index(), sum, version));
            }
            case REFUSAL -> {
                // A refusal follows from the document and from what was committed before it
            }
            case METADATA -> {
                final ClusterMetadata metadata = ClusterMetadata.load(in.bytes());
                metadatas.add(logRecord.index(), metadata);
                retirements.apply(logRecord.index(), metadata);
            }
            case USAGE -> {
                addWindow(unpackWindow(logRecord.index(), in));
                for (long n = in.num(); n > 0; n--) {
                    included.put((int) in.num(), in.num());
                }
            }
            case DELIVERED -> recordDelivery(in.num(), in.num() == 1);
            default -> throw new IllegalStateException("unknown control record at " + logRecord.index());
        }
    }

    /** The document that a record holds as its difference from the one in the log before it. */
    private byte[] followingNewest(final LogRecord logRecord, final byte[] delta) {
        try {
            return Delta.apply(configurationAt(Long.MAX_VALUE).doc(), delta);
        } catch (final Delta.MismatchException ex) {
            // The records before this one decide the base, and each stands on a checksum of its own
            throw new IllegalStateException(
                    "configuration record at " + logRecord.index() + ": " + ex.getMessage(), ex);
        }
    }

    private void addConfiguration(final long index, final long version, final byte[] doc) {
        configurations.add(index, new StoredConfiguration(index, version, doc));
    }

    @Override
    public void committed(final long index) {
        configurations.accept(index);
        metadatas.accept(index);
    }

    /** The newest configuration at or before the position, which is that of the newest committed record or later. */
    public StoredConfiguration configurationAt(final long index) {
        return configurations.at(index, StoredConfiguration.NONE);
    }

    /** As {@link #configurationAt}, for the cluster metadata. */
    public ClusterMetadata metadataAt(final long index) {
        return metadatas.at(index, ClusterMetadata.NONE);
    }

    /** How many configurations and cluster metadata were appended after the position. */
    public int appendedAfter(final long index) {
        return configurations.after(index) + metadatas.after(index);
    }

    /** What became of the newest changes. */
    public ChangeOutcomes outcomes() {
        return outcomes;
    }

    /** The storage machines that were ordered to retire. */
    public Retirements retirements() {
        return retirements;
    }

    @Override
    public void trimmed(final LogRecord logRecord) {
        // Nothing is read back from the control log by position, so nothing needs to know what is gone
    }

    @Override
    public boolean keeps(final LogRecord logRecord, final long now, final int newerRecords, final long newerBytes) {
        // By count and size, not by age: a snapshot serves whoever lags more, and a run of large changes must not
        // fill the memory
        return newerRecords < KEPT_RECORDS && newerBytes < KEPT_BYTES;
    }

    @Override
    public byte[] save() {
        final PackedBuffer buffer =
                PackedBuffer.writer().num(configurations.all().size());
        configurations
                .all()
                .forEach(s -> buffer.num(s.index())
                        .num(s.value().version())
                        .bytes(s.value().doc()));
        buffer.num(metadatas.all().size());
        metadatas.all().forEach(r -> buffer.num(r.index()).bytes(r.value().save()));
        buffer.num(windows.size());
        windows.values().forEach(w -> packWindow(buffer.num(w.index), w));
        buffer.num(deliveries.size());
        deliveries.forEach((w, delivered) -> buffer.num(w).num(delivered ? 1 : 0));
        buffer.num(included.size());
        included.forEach((g, w) -> buffer.num(g).num(w));
        outcomes.save(buffer.num(COMPACT_OUTCOMES));
        retirements.save(buffer);
        return buffer.done();
    }

    @Override
    public void load(final byte[] saved) {
        final PackedBuffer in = PackedBuffer.reader(saved);
        for (long n = in.num(); n > 0; n--) {
            addConfiguration(in.num(), in.num(), in.bytes());
        }
        for (long n = in.num(); n > 0; n--) {
            metadatas.add(in.num(), ClusterMetadata.load(in.bytes()));
        }
        for (long n = in.num(); n > 0; n--) {
            addWindow(unpackWindow(in.num(), in));
        }
        for (long n = in.num(); n > 0; n--) {
            recordDelivery(in.num(), in.num() == 1);
        }
        for (long n = in.num(); n > 0; n--) {
            included.put((int) in.num(), in.num());
        }
        loadOrders(in);
    }

    private void loadOrders(final PackedBuffer in) {
        final long format = in.num();
        if (format == COMPACT_OUTCOMES) {
            outcomes.load(in);
            retirements.load(in);
        } else {
            outcomes.loadWithRefusals(in, format);
            metadatas.all().forEach(r -> retirements.apply(r.index(), r.value()));
        }
    }
}
