package brookpath.coordination.spec;

import brookpath.coordination.group.LogState;
import brookpath.state.record.Pack;
import brookpath.state.record.Rec;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** What follows from the control log: the specs, the rosters, and the outcome of each change. */
public final class ControlState implements LogState {
    public static final int SPEC = 1;
    public static final int REFUSAL = 2;
    public static final int ROSTER = 3;
    private static final int KEPT_VERSIONS = 16;
    private static final int KEPT_OUTCOMES = 4096;
    private static final long KEEP_MS = 60_000;

    public record SpecAt(long lsn, long version, byte[] doc, Spec spec) {
    }

    public record RosterAt(long lsn, Roster roster) {
    }

    /** @param status 200 for a change that took effect, else the refusal's; sum tells the document */
    public record Outcome(long lsn, String changeId, long sum, int status, long version, String body) {
    }

    private final List<SpecAt> specs = new ArrayList<>();
    private final List<RosterAt> rosters = new ArrayList<>();
    private final Map<String, Outcome> outcomes = new LinkedHashMap<>();

    public static byte[] specBody(final String changeId, final long sum, final long version, final byte[] doc) {
        return Pack.writer().num(SPEC).str(changeId).num(sum).num(version).bytes(doc).done();
    }

    public static byte[] refusalBody(final String changeId, final long sum, final int status, final long version, final String body) {
        return Pack.writer().num(REFUSAL).str(changeId).num(sum).num(status).num(version).str(body).done();
    }

    public static byte[] rosterBody(final Roster roster) {
        return Pack.writer().num(ROSTER).bytes(roster.save()).done();
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
            case ROSTER -> addRoster(rec.lsn(), Roster.load(in.bytes()));
            default -> throw new IllegalStateException("unknown control record at " + rec.lsn());
        }
    }

    private void addSpec(final long lsn, final long version, final byte[] doc) {
        specs.add(new SpecAt(lsn, version, doc, SpecReader.stored(doc, version)));
        if (specs.size() > KEPT_VERSIONS) {
            specs.remove(0);
        }
    }

    private void addRoster(final long lsn, final Roster roster) {
        rosters.add(new RosterAt(lsn, roster));
        if (rosters.size() > KEPT_VERSIONS) {
            rosters.remove(0);
        }
    }

    private void addOutcome(final Outcome outcome) {
        outcomes.put(outcome.changeId, outcome);
        if (outcomes.size() > KEPT_OUTCOMES) {
            outcomes.remove(outcomes.keySet().iterator().next());
        }
    }

    public SpecAt specAt(final long lsn) {
        for (int i = specs.size() - 1; i >= 0; i--) {
            if (specs.get(i).lsn <= lsn) {
                return specs.get(i);
            }
        }
        return new SpecAt(0, 0, new byte[0], Spec.NONE);
    }

    public Roster rosterAt(final long lsn) {
        for (int i = rosters.size() - 1; i >= 0; i--) {
            if (rosters.get(i).lsn <= lsn) {
                return rosters.get(i).roster;
            }
        }
        return Roster.NONE;
    }

    public Outcome outcome(final String changeId) {
        return outcomes.get(changeId);
    }

    @Override
    public void trimmed(final Rec rec) {
        // why: nothing is read back from the control log by position, so nothing needs to know what is gone
    }

    @Override
    public long keepMs(final Rec rec) {
        return KEEP_MS;
    }

    @Override
    public byte[] save() {
        final Pack pack = Pack.writer().num(specs.size());
        specs.forEach(s -> pack.num(s.lsn).num(s.version).bytes(s.doc));
        pack.num(rosters.size());
        rosters.forEach(r -> pack.num(r.lsn).bytes(r.roster.save()));
        pack.num(outcomes.size());
        outcomes.values().forEach(o -> pack.num(o.lsn).str(o.changeId).num(o.sum).num(o.status).num(o.version).str(o.body));
        return pack.done();
    }

    @Override
    public void load(final byte[] saved) {
        final Pack in = Pack.reader(saved);
        for (long n = in.num(); n > 0; n--) {
            addSpec(in.num(), in.num(), in.bytes());
        }
        for (long n = in.num(); n > 0; n--) {
            addRoster(in.num(), Roster.load(in.bytes()));
        }
        for (long n = in.num(); n > 0; n--) {
            addOutcome(new Outcome(in.num(), in.str(), in.num(), (int) in.num(), in.num(), in.str()));
        }
    }
}
