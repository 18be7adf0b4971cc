package brookpath.coordination.spec;

import brookpath.coordination.group.LogState;
import brookpath.state.record.Delta;
import brookpath.state.record.Pack;
import brookpath.state.record.Rec;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** What follows from the control log: the specs, the rosters, and the outcome of each change. */
public final class ControlState implements LogState {
    public static final int SPEC = 1;
    /** Written by earlier releases; says nothing any more. */
    private static final int REFUSAL = 2;

    public static final int ROSTER = 3;
    public static final int USAGE = 4;
    public static final int DELIVERED = 5;
    /** A configuration as its difference from the one in the record of a configuration before it. */
    public static final int SPEC_DELTA = 6;

    /** Totals that the platform has not been told yet are kept for as many windows. */
    private static final int KEPT_WINDOWS = 360;

    /** Totals that the platform has been told are kept for as many windows, for those who ask what was reported. */
    private static final int KEPT_TOLD_WINDOWS = 64;

    /** So many accepted records, and so many bytes of them, stay in memory for slaves that lag. */
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
    public record Window(long lsn, long window, List<Used> used) {}

    private final TreeMap<Long, Window> windows = new TreeMap<>();
    private final TreeMap<Long, Boolean> settled = new TreeMap<>();
    private final TreeMap<Integer, Long> included = new TreeMap<>();
    private final AcceptedVersions<StoredSpec> specs = new AcceptedVersions<>();
    private final AcceptedVersions<Roster> rosters = new AcceptedVersions<>();
    private final ChangeOutcomes outcomes = new ChangeOutcomes();
    private final Retirements retirements = new Retirements();

    /** A configuration in full. */
    public static byte[] specBody(final String changeId, final long sum, final long version, final byte[] doc) {
        return specBody(SPEC, changeId, sum, version, doc);
    }

    /**
     * A configuration as its difference from the newest one in the log, or in full where that is no longer.
     *
     * @param newest what {@link #specAt} gives for the end of the log that the record is appended to
     */
    public static byte[] specBody(
            final StoredSpec newest, final String changeId, final long sum, final long version, final byte[] doc) {
        final byte[] delta = Delta.between(newest.doc(), doc);
        return delta.length < doc.length
                ? specBody(SPEC_DELTA, changeId, sum, version, delta)
                : specBody(SPEC, changeId, sum, version, doc);
    }

    private static byte[] specBody(
            final int kind, final String changeId, final long sum, final long version, final byte[] content) {
        return Pack.writer()
                .num(kind)
                .str(changeId)
                .num(sum)
                .num(version)
                .bytes(content)
                .done();
    }

    public static byte[] rosterBody(final Roster roster) {
        return Pack.writer().num(ROSTER).bytes(roster.save()).done();
    }

    /** @param upTo per group, through which of its windows it is counted from now on */
    public static byte[] usageBody(final long window, final List<Used> used, final Map<Integer, Long> upTo) {
        final Pack pack = Pack.writer().num(USAGE);
        packWindow(pack, new Window(0, window, used));
        pack.num(upTo.size());
        upTo.forEach((g, w) -> pack.num(g).num(w));
        return pack.done();
    }

    public static byte[] deliveredBody(final long window, final boolean delivered) {
        return Pack.writer().num(DELIVERED).num(window).num(delivered ? 1 : 0).done();
    }

    private static void packWindow(final Pack pack, final Window w) {
        pack.num(w.window).num(w.used.size());
        w.used.forEach(u -> pack.str(u.tenant).num(u.publishes).num(u.bytes).num(u.late ? 1 : 0));
    }

    private static Window unpackWindow(final long lsn, final Pack in) {
        final long window = in.num();
        final List<Used> used = new ArrayList<>();
        for (long n = in.num(); n > 0; n--) {
            used.add(new Used(in.str(), in.num(), in.num(), in.num() == 1));
        }
        return new Window(lsn, window, List.copyOf(used));
    }

    private void addWindow(final Window w) {
        windows.put(w.window, w);
        if (windows.size() > KEPT_WINDOWS) {
            settled.remove(windows.pollFirstEntry().getKey());
        }
    }

    private void settle(final long window, final boolean delivered) {
        settled.put(window, delivered);
        if (settled.size() > KEPT_TOLD_WINDOWS) {
            windows.remove(settled.pollFirstEntry().getKey());
        }
    }

    /** The newest window that has a total, -1 for none. */
    public long lastWindow() {
        return windows.isEmpty() ? -1 : windows.lastKey();
    }

    public long included(final int group) {
        return included.getOrDefault(group, -1L);
    }

    /** Windows of which the platform has not been told yet. */
    public List<Window> untold(final long position) {
        return windows.values().stream()
                .filter(w -> w.lsn <= position && !settled.containsKey(w.window))
                .toList();
    }

    public Iterable<Window> windows() {
        return windows.values();
    }

    /** Null while it is on its way, false where it was given up. */
    public Boolean told(final long window) {
        return settled.get(window);
    }

    @Override
    public void apply(final Rec rec) {
        if (rec.kind() != Rec.CONTROL) {
            return;
        }
        final Pack in = Pack.reader(rec.body());
        final int kind = (int) in.num();
        switch (kind) {
            case SPEC, SPEC_DELTA -> {
                final String changeId = in.str();
                final long sum = in.num();
                final long version = in.num();
                final byte[] content = in.bytes();
                addSpec(rec.lsn(), version, kind == SPEC ? content : followingNewest(rec, content));
                outcomes.add(changeId, new ChangeOutcomes.Outcome(rec.lsn(), sum, version));
            }
            case REFUSAL -> {
                // why: a refusal follows from the document and from what was accepted before it
            }
            case ROSTER -> {
                final Roster roster = Roster.load(in.bytes());
                rosters.add(rec.lsn(), roster);
                retirements.apply(rec.lsn(), roster);
            }
            case USAGE -> {
                addWindow(unpackWindow(rec.lsn(), in));
                for (long n = in.num(); n > 0; n--) {
                    included.put((int) in.num(), in.num());
                }
            }
            case DELIVERED -> settle(in.num(), in.num() == 1);
            default -> throw new IllegalStateException("unknown control record at " + rec.lsn());
        }
    }

    /** The document that a record holds as its difference from the one in the log before it. */
    private byte[] followingNewest(final Rec rec, final byte[] delta) {
        try {
            return Delta.apply(specAt(Long.MAX_VALUE).doc(), delta);
        } catch (final Delta.MismatchException ex) {
            // why: the records before this one decide the base, and each stands on a checksum of its own
            throw new IllegalStateException("configuration record at " + rec.lsn() + ": " + ex.getMessage(), ex);
        }
    }

    private void addSpec(final long lsn, final long version, final byte[] doc) {
        specs.add(lsn, new StoredSpec(lsn, version, doc));
    }

    @Override
    public void accepted(final long lsn) {
        specs.accept(lsn);
        rosters.accept(lsn);
    }

    /** The newest configuration at or before the position, which is that of the newest accepted record or later. */
    public StoredSpec specAt(final long lsn) {
        return specs.at(lsn, StoredSpec.NONE);
    }

    /** As {@link #specAt}, for the cluster metadata. */
    public Roster rosterAt(final long lsn) {
        return rosters.at(lsn, Roster.NONE);
    }

    /** How many configurations and rosters were appended after the position. */
    public int appendedAfter(final long lsn) {
        return specs.after(lsn) + rosters.after(lsn);
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
    public void trimmed(final Rec rec) {
        // why: nothing is read back from the control log by position, so nothing needs to know what is gone
    }

    @Override
    public boolean keeps(final Rec rec, final long now, final int newerRecords, final long newerBytes) {
        // why: by count and size, not by age: a snapshot serves whoever lags more, and a run of large changes must not
        // fill the memory
        return newerRecords < KEPT_RECORDS && newerBytes < KEPT_BYTES;
    }

    @Override
    public byte[] save() {
        final Pack pack = Pack.writer().num(specs.all().size());
        specs.all()
                .forEach(s -> pack.num(s.lsn())
                        .num(s.value().version())
                        .bytes(s.value().doc()));
        pack.num(rosters.all().size());
        rosters.all().forEach(r -> pack.num(r.lsn()).bytes(r.value().save()));
        pack.num(windows.size());
        windows.values().forEach(w -> packWindow(pack.num(w.lsn), w));
        pack.num(settled.size());
        settled.forEach((w, told) -> pack.num(w).num(told ? 1 : 0));
        pack.num(included.size());
        included.forEach((g, w) -> pack.num(g).num(w));
        outcomes.save(pack.num(COMPACT_OUTCOMES));
        retirements.save(pack);
        return pack.done();
    }

    @Override
    public void load(final byte[] saved) {
        final Pack in = Pack.reader(saved);
        for (long n = in.num(); n > 0; n--) {
            addSpec(in.num(), in.num(), in.bytes());
        }
        for (long n = in.num(); n > 0; n--) {
            rosters.add(in.num(), Roster.load(in.bytes()));
        }
        for (long n = in.num(); n > 0; n--) {
            addWindow(unpackWindow(in.num(), in));
        }
        for (long n = in.num(); n > 0; n--) {
            settle(in.num(), in.num() == 1);
        }
        for (long n = in.num(); n > 0; n--) {
            included.put((int) in.num(), in.num());
        }
        loadOrders(in);
    }

    private void loadOrders(final Pack in) {
        final long format = in.num();
        if (format == COMPACT_OUTCOMES) {
            outcomes.load(in);
            retirements.load(in);
        } else {
            outcomes.loadWithRefusals(in, format);
            rosters.all().forEach(r -> retirements.apply(r.lsn(), r.value()));
        }
    }
}
