package brookpath.coordination.spec;

import brookpath.coordination.Tempo;
import brookpath.coordination.action.Actions;
import brookpath.coordination.message.Msg.SpecPoll;
import brookpath.coordination.message.Msg.SpecReply;
import java.util.List;

/** A data-plane process's side of the spec: asks with the version that it has, and holds the lease on it. */
public final class SpecClient {
    private final int self;
    private final int role;
    private final String zone;
    private final String address;
    private final List<Integer> seeds;
    private final Tempo tempo;
    private final Actions out;

    private Spec spec = Spec.NONE;
    private Roster roster = Roster.NONE;
    private boolean known;
    private long leaseUntil = Long.MIN_VALUE;
    private long pollId;
    private long sentAt;
    private long nextAt = Long.MIN_VALUE;
    private boolean polling;
    private int target;
    private int turn;
    private boolean drain;

    public SpecClient(final int self, final int role, final String zone, final String address, final List<Integer> seeds,
                      final Tempo tempo, final Actions out) {
        this.self = self;
        this.role = role;
        this.zone = zone;
        this.address = address;
        this.seeds = seeds;
        this.tempo = tempo;
        this.out = out;
        turn = self % seeds.size();
        target = seeds.get(turn);
    }

    public Spec spec() {
        return spec;
    }

    public Roster roster() {
        return roster;
    }

    public int controlMaster() {
        return target;
    }

    public void drain(final boolean on) {
        drain = on;
    }

    public boolean draining() {
        return drain;
    }

    /** Nothing is served before a first answer that a majority backs, nor after the lease on it has run out. */
    public boolean leased(final long now) {
        return known && now < leaseUntil;
    }

    public long leaseUntil() {
        return known ? leaseUntil : Long.MIN_VALUE;
    }

    public void tick(final long now) {
        if (polling && now - sentAt > tempo.specHorizon()) {
            polling = false;
            nextSeed();
        }
        if (!polling && now >= nextAt) {
            poll(now);
        }
    }

    private void nextSeed() {
        turn = (turn + 1) % seeds.size();
        target = seeds.get(turn);
    }

    private void poll(final long now) {
        polling = true;
        sentAt = now;
        out.send(target, new SpecPoll(++pollId, self, role, zone, address, known ? spec.version() : -1,
                known ? roster.version() : -1, drain));
    }

    public void unsent(final int to, final long now) {
        if (polling && to == target) {
            polling = false;
            nextSeed();
            nextAt = now + tempo.tick();
        }
    }

    /** True when the spec or the roster is a newer one. */
    public boolean onReply(final SpecReply m, final long now) {
        if (!polling || m.pollId() != pollId) {
            return false;
        }
        polling = false;
        if (!m.master()) {
            if (m.masterHint() != 0 && m.masterHint() != target && seeds.contains(m.masterHint())) {
                target = m.masterHint();
                nextAt = now;
            } else {
                nextSeed();
                nextAt = now + tempo.tick();
            }
            return false;
        }
        boolean news = !known;
        if (m.specVersion() < spec.version()) {
            // why: a process that has shown a version never goes back, whoever says so
            out.grave("spec went back from " + spec.version() + " to " + m.specVersion());
            return false;
        }
        if (m.specVersion() > spec.version()) {
            spec = SpecReader.stored(m.spec(), m.specVersion());
            news = true;
        }
        if (m.rosterVersion() > roster.version()) {
            roster = Roster.load(m.roster());
            news = true;
        }
        known = true;
        // why: the lease runs from when the poll was sent, which is before it was granted
        leaseUntil = Math.max(leaseUntil, sentAt + tempo.specLease());
        poll(now);
        return news;
    }
}
