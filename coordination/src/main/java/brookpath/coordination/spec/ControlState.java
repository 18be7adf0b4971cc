package brookpath.coordination.spec;

import brookpath.coordination.group.LogState;
import brookpath.state.record.Pack;
import brookpath.state.record.Rec;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** What follows from the control log: the specs, the rosters, and the outcome of each change. */
public final class ControlState implements LogState {
    public static final int SPEC = 1;
    public static final int REFUSAL = 2;
    public static final int ROSTER = 3;
    public static final int USAGE = 4;
    public static final int DELIVERED = 5;
    /** Totals that the platform has not been told yet are kept for as many windows. */
    private static final int KEPT_WINDOWS = 360;

    /** Totals that the platform has been told are kept for as many windows, for those who ask what was reported. */
    private static final int KEPT_TOLD_WINDOWS = 64;

    private static final int KEPT_OUTCOMES = 4096;
    /** So many accepted records, and so many bytes of them, stay in memory for slaves that lag. */
    private static final int KEPT_RECORDS = 256;

    private static final int KEPT_BYTES = 1 << 20;

    /** @param status 200 for a change that took effect, else the refusal's; sum tells the document */
    public record Outcome(long lsn, String changeId, long sum, int status, long version, String body) {}

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
    private final Map<String, Outcome> outcomes = new LinkedHashMap<>();

    public static byte[] specBody(final String changeId, final long sum, final long version, final byte[] doc) {
        return Pack.writer()
                .num(SPEC)
                .str(changeId)
                .num(sum)
                .num(version)
                .bytes(doc)
                .done();
    }

    public static byte[] refusalBody(
            final String changeId, final long sum, final int status, final long version, final String body) {
        return Pack.writer()
                .num(REFUSAL)
                .str(changeId)
                .num(sum)
                .num(status)
                .num(version)
                .str(body)
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
        switch ((int) in.num()) {
            case SPEC -> {
                final String changeId = in.str();
                final long sum = in.num();
                final long version = in.num();
                final byte[] doc = in.bytes();
                addSpec(rec.lsn(), version, doc);
                addOutcome(new Outcome(rec.lsn(), changeId, sum, 200, version, ""));
            }
            case REFUSAL -> addOutcome(new Outcome(rec.lsn(), in.str(), in.num(), (int) in.num(), in.num(), in.str()));
            case ROSTER -> rosters.add(rec.lsn(), Roster.load(in.bytes()));
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

    private void addSpec(final long lsn, final long version, final byte[] doc) {
        specs.add(lsn, new StoredSpec(lsn, version, doc));
    }

    private void addOutcome(final Outcome outcome) {
        outcomes.put(outcome.changeId, outcome);
        if (outcomes.size() > KEPT_OUTCOMES) {
            outcomes.remove(outcomes.keySet().iterator().next());
        }
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

    public Outcome outcome(final String changeId) {
        return outcomes.get(changeId);
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
        pack.num(outcomes.size());
        outcomes.values()
                .forEach(o -> pack.num(o.lsn)
                        .str(o.changeId)
                        .num(o.sum)
                        .num(o.status)
                        .num(o.version)
                        .str(o.body));
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
        for (long n = in.num(); n > 0; n--) {
            addOutcome(new Outcome(in.num(), in.str(), in.num(), (int) in.num(), in.num(), in.str()));
        }
    }
}
