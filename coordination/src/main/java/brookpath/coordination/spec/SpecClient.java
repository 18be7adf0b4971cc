package brookpath.coordination.spec;

import brookpath.coordination.Tempo;
import brookpath.coordination.action.Actions;
import brookpath.coordination.message.Msg.SpecPoll;
import brookpath.coordination.message.Msg.SpecReply;
import brookpath.coordination.node.Node.Time;
import brookpath.coordination.spec.Roster.NodeInfo;
import brookpath.state.record.Delta;
import java.util.ArrayList;
import java.util.List;

/** A data-plane process's side of the spec: asks with the version that it has, and holds the lease on it. */
public final class SpecClient {
    /** Told in place of a version, so that the answer brings the whole. */
    private static final int NOTHING_KNOWN = -1;

    private final NodeInfo info;
    private final int self;
    private final int role;
    /** Whom it may ask: those that the settings name, and those that the roster has told of since. */
    private List<Integer> controllers;

    private final Tempo tempo;
    private final Actions out;

    private Spec spec = Spec.NONE;
    private Roster roster = Roster.NONE;
    /** Both as they came, for the differences that follow. */
    private byte[] specBytes = VersionUpdates.NO_NEWS;

    private byte[] rosterBytes = VersionUpdates.NO_NEWS;
    private boolean known;
    /** A difference did not fit, so the next answer is to bring both whole. */
    private boolean wantsWhole;

    private long leaseUntil = Long.MIN_VALUE;
    private long pollId;
    private long sentAt;
    private long nextAt = Long.MIN_VALUE;
    private boolean polling;
    private int target;
    private int turn;
    private boolean drain;
    private boolean relay;
    /** Polls are carried only because the master's address is not known yet. */
    private boolean masterUnknown;

    private long relayUntil;
    private long clockAhead = Long.MIN_VALUE;

    /**
     * @param info this process as others are told of it; siblings reach a storage machine or a controller at its
     *     address, callers a front
     * @param firstId where the polls' IDs begin, another place in each life of the process: a reply that a third node
     *     carries may outlive the one that asked, and must grant no lease to its successor
     */
    public SpecClient(
            final NodeInfo info,
            final int role,
            final List<Integer> seeds,
            final long firstId,
            final Tempo tempo,
            final Actions out) {
        this.info = info;
        self = info.node();
        this.role = role;
        pollId = firstId;
        controllers = seeds.stream().filter(n -> n != self).toList();
        this.tempo = tempo;
        this.out = out;
        turn = controllers.isEmpty() ? 0 : Math.floorMod(self, controllers.size());
        target = controllers.isEmpty() ? 0 : controllers.get(turn);
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

    /** The control master that has answered lately, 0 for none. */
    public int masterHeard(final long now) {
        return leased(now) && !relay ? target : 0;
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

    /** Nothing is stamped by this machine's own clock, which may be the wrong one. */
    public boolean clockKnown() {
        return clockAhead != Long.MIN_VALUE;
    }

    /** The fleet's clock as the control master told it. */
    public long wall(final Time time) {
        return clockKnown() ? time.mono() + clockAhead : 0;
    }

    public void tick(final Time time) {
        final long now = time.mono();
        if (polling && now - sentAt > tempo.specHorizon()) {
            polling = false;
            unreached(now);
        }
        if (!polling && now >= nextAt && target != 0) {
            poll(time);
        }
    }

    /**
     * The one that was asked cannot be reached. Another may reach it, so it is asked to carry the poll, for a while.
     */
    private void unreached(final long now) {
        // why: before a first answer nothing says that the one is unreachable rather than not up yet
        relay = known;
        relayUntil = now + 2 * tempo.changeMs() * 4 / 5;
        nextSeed();
    }

    private void nextSeed() {
        if (!controllers.isEmpty()) {
            turn = (turn + 1) % controllers.size();
            target = controllers.get(turn);
        }
    }

    /** Further controllers that may be asked, from a log that may be old. */
    public void suggest(final List<Roster.NodeInfo> more) {
        final List<Integer> all = new ArrayList<>(controllers);
        more.stream()
                .map(Roster.NodeInfo::node)
                .filter(n -> n != self && !all.contains(n))
                .forEach(all::add);
        controllers = List.copyOf(all);
        if (target == 0) {
            nextSeed();
        }
    }

    /** The answer that was carried brought the master's address, so that the next poll can go there. */
    private void askDirectly(final int master) {
        if (masterUnknown && controllers.contains(master)) {
            relay = false;
            target = master;
        }
        masterUnknown = false;
    }

    private void learn() {
        final List<Integer> known = new ArrayList<>(controllers);
        roster.controllers().forEach(b -> {
            if (b.node() != self && !known.contains(b.node())) {
                known.add(b.node());
            }
        });
        // why: machines of the first days may be gone for good
        if (!roster.controllers().isEmpty()) {
            known.removeIf(n -> n != target && roster.controllers().stream().noneMatch(b -> b.node() == n));
        }
        controllers = List.copyOf(known);
        turn = Math.max(0, controllers.indexOf(target));
    }

    private void poll(final Time time) {
        final long now = time.mono();
        polling = true;
        sentAt = now;
        relay &= now < relayUntil;
        out.send(
                target,
                new SpecPoll(
                        ++pollId,
                        self,
                        role,
                        info.zone(),
                        info.address(),
                        info.name(),
                        known && !wantsWhole ? spec.version() : NOTHING_KNOWN,
                        known && !wantsWhole ? roster.version() : NOTHING_KNOWN,
                        drain,
                        relay,
                        time.wall(),
                        info.machine()));
    }

    /**
     * The poll never left, or the session that it went over broke: waiting for its horizon would only waste the lease.
     */
    public void unsent(final int to, final long now) {
        if (polling && to == target) {
            polling = false;
            unreached(now);
            nextAt = now + tempo.tick();
        }
    }

    /** True when the spec or the roster is a newer one. */
    public boolean onReply(final SpecReply m, final Time time) {
        final long now = time.mono();
        if (!polling || m.pollId() != pollId) {
            return false;
        }
        polling = false;
        if (!m.master()) {
            if (!relay && m.masterHint() != 0 && m.masterHint() != target && controllers.contains(m.masterHint())) {
                target = m.masterHint();
                nextAt = now;
            } else if (!relay && m.masterHint() != 0 && m.masterHint() != target) {
                // why: a master that no settings named is known by number only; whoever names it carries the poll, and
                // the roster tells the rest
                relay = true;
                masterUnknown = true;
                relayUntil = now + tempo.specHold();
                nextAt = now;
            } else {
                nextSeed();
                nextAt = now + tempo.tick();
            }
            return false;
        }
        if (m.specVersion() < spec.version()) {
            // why: a process that has shown a version never goes back, whoever says so
            out.grave("spec went back from " + spec.version() + " to " + m.specVersion());
            return false;
        }
        final boolean news;
        try {
            news = take(m) || !known;
        } catch (final Delta.MismatchException ex) {
            // why: no lease without the configuration that it is for; the whole fits whatever there is
            out.note("asks for the whole configuration: " + ex.getMessage());
            wantsWhole = true;
            poll(time);
            return false;
        }
        wantsWhole = false;
        known = true;
        askDirectly(m.masterHint());
        // why: the lease runs from when the poll was sent, which is before it was granted
        leaseUntil = Math.max(leaseUntil, sentAt + tempo.specLease());
        if (m.wall() != 0) {
            clockAhead = m.wall() - now;
        }
        poll(time);
        return news;
    }

    /** Takes what is newer in the reply; nothing of it where one part does not fit. True where there was something. */
    private boolean take(final SpecReply m) throws Delta.MismatchException {
        final boolean newSpec = m.specVersion() > spec.version();
        final boolean newRoster = m.rosterVersion() > roster.version();
        final byte[] nextSpec = newSpec ? Delta.apply(specBytes, m.spec()) : specBytes;
        final byte[] nextRoster = newRoster ? Delta.apply(rosterBytes, m.roster()) : rosterBytes;
        if (newSpec) {
            spec = SpecReader.stored(nextSpec, m.specVersion());
            specBytes = nextSpec;
        }
        if (newRoster) {
            roster = Roster.load(nextRoster);
            rosterBytes = nextRoster;
            learn();
        }
        return newSpec || newRoster;
    }
}
