package brookpath.coordination.group;

import static brookpath.coordination.group.Copies.majority;
import static brookpath.coordination.message.Msg.PullReply.FULL;
import static brookpath.coordination.message.Msg.PullReply.MISMATCH;
import static brookpath.coordination.message.Msg.PullReply.RECORDS;

import brookpath.coordination.Tempo;
import brookpath.coordination.action.Actions;
import brookpath.coordination.beat.BeatTable;
import brookpath.coordination.beat.Pledges;
import brookpath.coordination.message.Msg;
import brookpath.coordination.message.Msg.BeatEntry;
import brookpath.coordination.message.Msg.Pull;
import brookpath.coordination.message.Msg.PullReply;
import brookpath.coordination.message.Msg.VoteAsk;
import brookpath.coordination.message.Msg.VoteReply;
import brookpath.state.record.Pack;
import brookpath.state.record.Rec;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Supplier;

/**
 * One member of one replication group: the source's election and pulled replication, with the epochs, the copies floor,
 * the lease and the lost-disk rule that it lacks. Takes (event, now) and adds actions; it has no clock and no I/O.
 */
public final class GroupMachine {
    public static final int SLAVE = BeatEntry.SLAVE;
    public static final int CANDIDATE = BeatEntry.CANDIDATE;
    public static final int MASTER = BeatEntry.MASTER;

    public static final int SYNC_PEER = 0;
    public static final int SYNC_CATCH_UP = 1;
    public static final int SYNC_LOST = 2;

    private static final int W_REC = 1;
    private static final int W_TRUNCATE = 2;
    private static final int W_VOTE = 3;
    private static final int W_INIT = 4;
    private static final int W_IMAGE = 5;
    /** So many bytes of records go in one reply: a slow link must not keep the beats behind it for long. */
    private static final int REPLY_BYTES = 64 << 10;
    /** Beyond so many bytes that its own disk has not synced, a master takes nothing more. */
    private static final int MAX_UNSYNCED_BYTES = 1 << 20;

    /** The log is trimmed in steps of so many records or bytes, so that the list is not shifted for each record. */
    private static final int TRIM_RECORDS = 64;

    private static final int TRIM_BYTES = 64 << 10;
    private static final int DEFERENCE = 3;
    private static final int SWEPT_AT_ONCE = 16;

    /** A message that goes out once a write is synced. */
    private record Waiting(long write, int node, Msg msg, long since) {}

    /** A part of the log that is not synced yet. */
    private record Unsynced(long write, long lsn, int bytes, long since) {}

    private final int id;
    private final Pledges pledges;
    private final int self;
    private final Tempo tempo;
    private final int toleratedLosses;
    private final Supplier<LogState> states;
    private final Actions out;
    private final SplittableRandom rnd;

    /** The newest in the log counts as soon as it is there; without one, what the group was founded with. */
    private Membership founding = Membership.NONE;

    private Membership baseMembership;
    private Membership membership = Membership.NONE;
    private long membershipLsn;
    private List<Member> members = List.of();
    private int groupVersion;
    private long handingOverUntil = Long.MIN_VALUE;
    private final TreeMap<Integer, Long> learnt = new TreeMap<>();
    private boolean founded;
    private BeatTable table = BeatTable.EMPTY;
    private long startedAt = Long.MIN_VALUE;

    private boolean initialised;
    private boolean lost;
    /**
     * A record here is not as it was made. What was voted and how far the log goes is still known, so this member may
     * vote; its copy is none.
     */
    private boolean damaged;

    private long epoch;
    private int votedFor;
    private long epochSeen;

    private long baseLsn;
    private long baseEpoch;
    private LogState base;
    private LogState live;
    private final ArrayList<Rec> recs = new ArrayList<>();
    /** Per record, a digest of the whole log up to it: equal here and there means equal all the way. */
    private final ArrayList<Long> chain = new ArrayList<>();

    private long baseChain;
    private long logBytes;
    private long swept;
    private long syncedLsn;
    private long accepted;
    private final ArrayDeque<Unsynced> unsynced = new ArrayDeque<>();
    private long unsyncedBytes;
    private final ArrayDeque<Waiting> afterSync = new ArrayDeque<>();

    private int role = SLAVE;
    private long openLsn;
    private long masterSince;
    private final TreeMap<Integer, Long> copies = new TreeMap<>();
    private final TreeMap<Integer, Pull> held = new TreeMap<>();

    private final TreeSet<Integer> votes = new TreeSet<>();
    private long goEndsAt;
    private long nextGo;
    private int lostGoes;
    private int masterHeard;
    private String why = "started";
    private String obstacle = "";
    private long deferUntil = Long.MIN_VALUE / 2;
    private boolean retreats;
    private long nextTrim = Long.MIN_VALUE;

    private int pullSource;
    private long pullSentAt;
    private boolean pulling;
    private boolean wantFull;
    private final ImageSender imageSender;
    private final ImageReceiver imageReceiver = new ImageReceiver();
    private long joinTarget = -1;
    /** The write that says that this copy is rebuilt, until it is synced; 0 for none. */
    private long rebuiltWrite;

    private boolean inSync;
    private long behindSince = Long.MAX_VALUE;

    public GroupMachine(
            final int id,
            final int self,
            final Tempo tempo,
            final int toleratedLosses,
            final long seed,
            final Supplier<LogState> states,
            final Pledges pledges,
            final Actions out) {
        this.pledges = pledges;
        this.id = id;
        this.self = self;
        this.tempo = tempo;
        this.toleratedLosses = toleratedLosses;
        this.states = states;
        this.out = out;
        imageSender = new ImageSender(tempo.recoverMs());
        rnd = new SplittableRandom(seed * 31 + id * 7919L + self);
        base = states.get();
        live = states.get();
    }

    // ---- what others may read

    public int id() {
        return id;
    }

    public int role() {
        return role;
    }

    public long epoch() {
        return epoch;
    }

    public long accepted() {
        return accepted;
    }

    public long endLsn() {
        return baseLsn + recs.size();
    }

    public long baseLsn() {
        return baseLsn;
    }

    public long syncedLsn() {
        return syncedLsn;
    }

    /** Where this master opened its epoch, 0 while it has none. */
    public long openLsn() {
        return openLsn;
    }

    public int groupVersion() {
        return groupVersion;
    }

    public List<Member> members() {
        return members;
    }

    public Membership membership() {
        return membership;
    }

    /** Whether the log itself tells who the members are, rather than whoever founded the group. */
    public boolean tellsMembers() {
        return baseMembership != null || recs.stream().anyMatch(rec -> rec.kind() == Rec.MEMBERS);
    }

    /** Whether the newest membership is accepted, so that a next step may follow. */
    public boolean membershipSettled() {
        return membershipLsn <= accepted;
    }

    /** How far a learner's copy is known to be synced. */
    public long learnt(final int node) {
        return learnt.getOrDefault(node, -1L);
    }

    /** How far a voter's copy is known to be synced, as the master counts it; -1 where nothing is known. */
    public long copySynced(final int node) {
        return node == self ? syncedLsn : copies.getOrDefault(node, -1L);
    }

    /** Where the newest membership stands in the log; 0 where the log tells none. */
    public long membershipLsn() {
        return membershipLsn;
    }

    /** Nothing is under way that a wakeup would have to drive on. */
    public boolean calm() {
        return role == MASTER ? openLsn > 0 && accepted == endLsn() : role == SLAVE && masterHeard != 0 && !lost();
    }

    /** What was asked of the node may never have arrived. */
    public void sessionLost(final int node) {
        pulling &= pullSource != node;
    }

    public LogState live() {
        return live;
    }

    public LogState base() {
        return base;
    }

    /** Whether this copy is none and is to be rebuilt from another. */
    public boolean lost() {
        return lost || damaged;
    }

    public String why() {
        return why;
    }

    /** The master as this member sees it, 0 for none. */
    public int masterHeard() {
        return masterHeard;
    }

    public Rec rec(final long lsn) {
        return recs.get((int) (lsn - baseLsn - 1));
    }

    public int floor() {
        return floor(members.size());
    }

    /** The copies that an accepted record has at least, in a group of so many voters. */
    public int floor(final int voters) {
        return Copies.floor(voters, toleratedLosses);
    }

    /** Whether the node, a voter or a learner, is this master itself or has answered it within the lease. */
    public boolean follows(final int node, final long now) {
        return node == self || answeredSince(node, now - tempo.lease());
    }

    /** Copies of a record that are known to be synced. */
    public int copies(final long lsn) {
        int n = syncedLsn >= lsn ? 1 : 0;
        for (final Map.Entry<Integer, Long> copy : copies.entrySet()) {
            n += copy.getValue() >= lsn && weight(copy.getKey()) >= 0 ? 1 : 0;
        }
        return n;
    }

    public int active(final long now) {
        int n = 1;
        for (final Member m : members) {
            n += m.node() != self && voting(m.node(), now) ? 1 : 0;
        }
        return n;
    }

    /** May this member act as the master just now? Asked again immediately before each response. */
    public boolean mayAct(final long now) {
        return role == MASTER && openLsn > 0 && accepted >= openLsn && leaseHeld(now) && now >= handingOverUntil;
    }

    /** Has a slave the accepted position of a master that it hears? */
    public boolean inSync(final long now) {
        // why: a slave that hears its master but is not heard gets no more of the log, and would not know
        return role == MASTER
                ? mayAct(now)
                : inSync && !lost() && masterHeard != 0 && table.up(masterHeard) && now - behindSince <= tempo.down();
    }

    /** Since when the master has told of more accepted than is here. */
    private void lookBehind(final long now) {
        final BeatEntry e = masterHeard == 0 || masterHeard == self ? null : table.fresh(masterHeard, id, now);
        if (e == null || e.accepted() <= accepted) {
            behindSince = Long.MAX_VALUE;
        } else if (behindSince == Long.MAX_VALUE) {
            behindSince = now;
        }
    }

    public BeatEntry entry(final long now) {
        final int sync = lost ? SYNC_LOST : inSync(now) ? SYNC_PEER : SYNC_CATCH_UP;
        return new BeatEntry(
                id,
                groupVersion,
                epoch,
                role,
                sync,
                baseLsn + 1,
                syncedLsn,
                epochAt(syncedLsn),
                accepted,
                masterHeard,
                weight(self));
    }

    // ---- set-up and recovery

    public void replay(final Pack in, final long now) {
        final int kind = (int) in.num();
        switch (kind) {
            case W_REC -> {
                final Rec rec = Rec.wrap(in.bytes(), now);
                push(rec);
                if (rec.epoch() > epoch) {
                    epoch = rec.epoch();
                    votedFor = 0;
                }
            }
            case W_TRUNCATE -> cutTo(in.num());
            case W_VOTE -> {
                epoch = in.num();
                votedFor = (int) in.num();
            }
            case W_INIT -> {
                initialised = true;
                lost = in.num() == 1;
            }
            case W_IMAGE -> loadImage(in.bytes(), now);
            default -> throw new IllegalStateException("group " + id + ": unknown entry kind " + kind);
        }
        syncedLsn = endLsn();
        epochSeen = Math.max(epochSeen, epoch);
    }

    /** Everything of this group, for the snapshot that begins a segment, as entries to replay. */
    public List<byte[]> checkpoint() {
        final List<byte[]> entries = new ArrayList<>();
        entries.add(entryOf(W_VOTE).num(epoch).num(votedFor).done());
        if (initialised) {
            entries.add(entryOf(W_INIT).num(lost && rebuiltWrite == 0 ? 1 : 0).done());
        }
        entries.add(entryOf(W_IMAGE).bytes(image()).done());
        return entries;
    }

    /** The control group's explicit founding: an empty member that knows it is new, not robbed of its disk. */
    public void found() {
        if (!initialised) {
            initialised = true;
            out.write(entryOf(W_INIT).num(0).done());
        }
    }

    /**
     * Since when the process runs that this member is part of: the pledges that a former one gave were given before.
     */
    public void bornAt(final long mono) {
        startedAt = mono;
    }

    public void configure(final List<Member> newMembers, final int version, final boolean isFounded, final long now) {
        configure(new Membership(version, newMembers, List.of()), isFounded, now);
    }

    public void configure(final Membership placed, final boolean isFounded, final long now) {
        founding = placed;
        useMembership();
        // why: whoever has voted in an epoch is bound by no master of an earlier one, also after a restart
        pledges.raise(id, epoch, self, true, now);
        founded = isFounded;
        if (startedAt == Long.MIN_VALUE) {
            startedAt = now;
        }
        if (!initialised) {
            // why: an empty folder of a founded group has lost its log; it must not vote as if it had never had one
            initialised = true;
            lost = founded;
            out.write(entryOf(W_INIT).num(lost ? 1 : 0).done());
        }
    }

    // ---- events

    /** Takes the newest membership that the log or the placement tells. */
    private void useMembership() {
        membership = baseMembership != null ? baseMembership : founding;
        membershipLsn = 0;
        for (int i = recs.size() - 1; i >= 0; i--) {
            if (recs.get(i).kind() == Rec.MEMBERS) {
                membership = Membership.load(Pack.reader(recs.get(i).body()));
                membershipLsn = recs.get(i).lsn();
                break;
            }
        }
        // why: only accepted memberships are told by a placement, so a newer one stands over a log that is behind
        if (founding.version() > membership.version()) {
            membership = founding;
            membershipLsn = 0;
        }
        members = membership.voters();
        groupVersion = membership.version();
        // why: the record that removes a member must not end at that member, which could then neither stand nor help
        // another with an older log
        held.keySet().removeIf(node -> !membership.holds(node));
    }

    /** One step of a membership change, as a record. False, and nothing is done, where it would not be safe now. */
    public boolean change(final Membership next, final long now, final long wall) {
        if (!mayChange(next, now)) {
            return false;
        }
        append(Rec.MEMBERS, next.save(), now, wall);
        why = "group version " + next.version() + " with voters "
                + next.voters().stream().map(Member::node).toList() + " and learners "
                + next.learners().stream().map(Member::node).toList();
        out.note("group " + id + ": " + why);
        return true;
    }

    /** Whether a membership may follow the present one now; docs/design/control-membership.md says why. */
    private boolean mayChange(final Membership next, final long now) {
        // why: mayAct stands for an accepted record of this epoch, without which a predecessor's change may be open
        if (!mayAct(now) || !membershipSettled() || next.version() != membership.version() + 1) {
            return false;
        }
        final List<Member> joining = Membership.missing(next.voters(), members);
        final List<Member> leaving = Membership.missing(members, next.voters());
        if (joining.size() + leaving.size() > 1 || Membership.find(next.voters(), self) == null) {
            return false;
        }
        if (joining.stream().anyMatch(m -> learnt(m.node()) < accepted)) {
            return false;
        }
        // why: what is accepted must not rest on the copy of the one that leaves
        return copiesAmong(next.voters()) >= Copies.floor(next.voters().size(), toleratedLosses)
                && leaseHeld(next.voters(), now);
    }

    /** How many of these nodes have synced all that is accepted. */
    private int copiesAmong(final List<Member> voters) {
        int n = 0;
        for (final Member m : voters) {
            final boolean joins = weight(m.node()) < 0;
            final long synced =
                    m.node() == self ? syncedLsn : joins ? learnt(m.node()) : copies.getOrDefault(m.node(), -1L);
            n += synced >= accepted ? 1 : 0;
        }
        return n;
    }

    /**
     * This member is about to leave: it stands no more, and hands over to whoever has everything. True once it masters
     * nothing.
     */
    public boolean retreat(final long now) {
        retreats = true;
        if (role == MASTER && now >= handingOverUntil) {
            handOverToAny(now);
        }
        return role != MASTER;
    }

    private void handOverToAny(final long now) {
        for (final Member m : members) {
            if (handOver(m.node(), now)) {
                return;
            }
        }
    }

    /** Manual switchover: asks a slave that has everything to stand, and does not act until that has been tried. */
    public boolean handOver(final int to, final long now) {
        if (!mayAct(now) || to == self || weight(to) < 0 || copies.getOrDefault(to, -1L) < endLsn()) {
            return false;
        }
        // why: the voters will not wait for this lease to end, so it must not be used from here on
        handingOverUntil = now + tempo.down() + tempo.goHorizon();
        why = "hands over to " + to;
        out.send(to, new Msg.StandNow(id, epoch));
        return true;
    }

    public void tick(final long now, final BeatTable newTable) {
        table = newTable;
        if (weight(self) < 0) {
            followOnly(now);
            return;
        }
        for (final Member m : members) {
            final BeatEntry e = m.node() == self ? null : table.fresh(m.node(), id, now);
            if (e != null) {
                epochSeen = Math.max(epochSeen, e.epoch());
            }
        }
        if (role == MASTER) {
            if (epochSeen > epoch) {
                stepDown("epoch " + epochSeen + " seen");
            } else if (now - masterSince > tempo.down() && !majorityAnswers(now)) {
                stepDown("no majority answers");
            } else {
                advance(now);
                yieldForDisk(now);
            }
        }
        if (role == CANDIDATE && now >= goEndsAt) {
            role = SLAVE;
            lostGoes++;
            nextGo = now + spread();
            why = "go for epoch " + epoch + " lost";
        }
        final int heard = role == MASTER ? (leaseHeld(now) ? self : 0) : liveMaster(now);
        if (heard != masterHeard) {
            masterHeard = heard;
            if (heard == 0 || heard == self) {
                // why: the others wait to stand until nobody tells of a live master, so they are told at once
                out.beatNow();
            }
            if (heard != self && heard != 0) {
                lostGoes = 0;
            }
            pulling = false;
        }
        if (role == SLAVE && masterHeard == 0) {
            inSync = false;
            if (now >= nextGo && mayStand(now)) {
                stand(now, false);
            }
        }
        lookBehind(now);
        sweep();
        pull(now);
        trim(now);
    }

    /** A learner copies the log; who is no member does nothing and hears no master through this group. */
    private void followOnly(final long now) {
        if (role == MASTER) {
            stepDown("is no voter any more");
        }
        role = SLAVE;
        if (membership.holds(self)) {
            masterHeard = liveMaster(now);
            pull(now);
        } else {
            masterHeard = 0;
            inSync = false;
        }
    }

    /** All writes up to this number are synced. */
    public void synced(final long number, final long now) {
        while (!unsynced.isEmpty() && unsynced.peek().write <= number) {
            final Unsynced done = unsynced.poll();
            syncedLsn = Math.max(syncedLsn, done.lsn);
            unsyncedBytes -= done.bytes;
        }
        while (!afterSync.isEmpty() && afterSync.peek().write <= number) {
            final Waiting w = afterSync.poll();
            if (w.node == self) {
                onVoteReply(self, (VoteReply) w.msg, now);
            } else {
                out.send(w.node, w.msg);
            }
        }
        if (damaged && !lost && !wantFull && unsynced.isEmpty()) {
            // why: it has forgotten no vote, so the master's log, whole and synced, makes it the copy that any other
            // slave is
            damaged = false;
            why = "copy mended up to " + syncedLsn;
        }
        if (lost() && joinTarget >= 0 && syncedLsn >= joinTarget && unsynced.isEmpty() && rebuiltWrite == 0) {
            rebuiltWrite = out.write(entryOf(W_INIT).num(0).done());
        }
        // why: whoever is told that this copy counts must find it counting after a crash, too
        if (rebuiltWrite > 0 && number >= rebuiltWrite) {
            rebuiltWrite = 0;
            lost = false;
            damaged = false;
            joinTarget = -1;
            why = "copy rebuilt up to " + syncedLsn;
        }
        if (role == MASTER) {
            advance(now);
        } else if (unsynced.isEmpty()) {
            pull(now);
        }
    }

    public void on(final int from, final Msg msg, final long now) {
        if (!concerns(from, msg)) {
            return;
        }
        if (msg instanceof Msg.StandNow m) {
            if (role == SLAVE && from == masterHeard && m.epoch() == epoch && !lost() && unsynced.isEmpty()) {
                stand(now, true);
            }
        } else if (msg instanceof VoteAsk m) {
            onVoteAsk(from, m, now);
        } else if (msg instanceof VoteReply m) {
            onVoteReply(from, m, now);
        } else if (msg instanceof Pull m) {
            onPull(from, m, now);
        } else if (msg instanceof PullReply m) {
            onPullReply(from, m, now);
        }
    }

    /**
     * Whose message counts. The membership here may be older or newer than the sender's: whoever asks for a vote is
     * judged by its epoch and log alone, and counts the answer by its own membership; a master is obeyed by its epoch.
     */
    private boolean concerns(final int from, final Msg msg) {
        if (msg instanceof PullReply) {
            return true;
        }
        if (msg instanceof VoteAsk) {
            return membership.holds(self);
        }
        return weight(self) >= 0
                && (weight(from) >= 0 || (msg instanceof Pull && Membership.find(membership.learners(), from) != null));
    }

    /** Appends a record as the master; the caller has asked {@link #mayAct}. */
    public long append(final int kind, final byte[] body, final long now, final long wall) {
        final long last = recs.isEmpty() ? 0 : recs.get(recs.size() - 1).stamp();
        final Rec rec = Rec.of(endLsn() + 1, epoch, Math.max(last, wall), kind, body, now);
        store(rec);
        serveHeld(now);
        return rec.lsn();
    }

    // ---- election

    private boolean mayStand(final long now) {
        obstacle = obstacle(now);
        return obstacle.isEmpty();
    }

    /** What keeps this member from standing, empty for nothing. */
    private String obstacle(final long now) {
        if (lost() || !initialised) {
            return "its copy is being rebuilt";
        }
        if (retreats) {
            return "it is about to leave";
        }
        if (now - startedAt <= tempo.down()) {
            return "it has just started";
        }
        if (diskLag(now) > tempo.diskPatience()) {
            return "its disk takes nothing";
        }
        int answering = 1;
        int better = 0;
        for (final Member m : members) {
            if (m.node() == self) {
                continue;
            }
            final BeatEntry e = table.fresh(m.node(), id, now);
            if (e == null || e.sync() == SYNC_LOST) {
                continue;
            }
            if (e.role() == MASTER && e.epoch() >= epoch) {
                return "node " + m.node() + " is the master";
            }
            if (e.masterHeard() != 0 && e.masterHeard() != self) {
                return "node " + m.node() + " hears master " + e.masterHeard();
            }
            // why: one that is heard but does not answer is down; waiting for its longer log would wait for ever, and
            // the
            // voters' own logs decide anyway
            if (table.up(m.node())) {
                if (newer(e.endEpoch(), e.endLsn(), epochAt(syncedLsn), syncedLsn)) {
                    return "node " + m.node() + " has a newer log";
                }
                answering++;
                if (e.endLsn() == syncedLsn && e.endEpoch() == epochAt(syncedLsn) && outranks(m.node(), self)) {
                    better++;
                }
            }
        }
        final int needed = founded ? majority(members.size()) : members.size();
        if (answering < needed) {
            return "only " + answering + " of " + needed + " answer";
        }
        // why: the tie order says who wins, so the lower ranks give the higher ones a head start, for a few goes
        return lostGoes >= DEFERENCE || better == 0 || deferred(now, better) ? "" : "gives a higher rank a head start";
    }

    /** What kept this member from standing when it last looked. */
    public String obstacle() {
        return obstacle;
    }

    private boolean deferred(final long now, final int better) {
        if (now - deferUntil > tempo.down()) {
            deferUntil = now + better * tempo.goHorizon();
        }
        return now >= deferUntil;
    }

    private void stand(final long now, final boolean manual) {
        final long next = Math.max(epoch, epochSeen) + 1;
        if (!pledges.raise(id, next, self, manual, now)) {
            obstacle = "it has just answered a master's beat";
            return;
        }
        epoch = next;
        epochSeen = epoch;
        votedFor = self;
        role = CANDIDATE;
        votes.clear();
        goEndsAt = now + tempo.goHorizon();
        why = "stands for epoch " + epoch;
        final long write = out.write(entryOf(W_VOTE).num(epoch).num(self).done());
        for (final Member m : members) {
            afterSync.add(new Waiting(
                    write,
                    m.node(),
                    m.node() == self
                            ? new VoteReply(id, epoch, true, epoch, "own vote")
                            : new VoteAsk(
                                    id,
                                    groupVersion,
                                    epoch,
                                    syncedLsn,
                                    epochAt(syncedLsn),
                                    weight(self),
                                    lostGoes,
                                    manual),
                    now));
        }
    }

    private void onVoteAsk(final int from, final VoteAsk m, final long now) {
        epochSeen = Math.max(epochSeen, role == MASTER ? epochSeen : m.epoch());
        String refusal = refusal(from, m, now);
        if (refusal == null && !pledges.raise(id, m.epoch(), from, m.manual(), now)) {
            refusal = "has just answered a master's beat";
        }
        if (refusal != null) {
            out.send(from, new VoteReply(id, m.epoch(), false, Math.max(epoch, epochSeen), refusal));
            return;
        }
        if (role == MASTER) {
            stepDown("node " + from + " takes over");
        }
        epoch = m.epoch();
        votedFor = from;
        role = SLAVE;
        nextGo = now + tempo.down();
        why = "voted for " + from + " in epoch " + epoch;
        // why: a vote that is forgotten after a crash could be given twice
        final long write = out.write(entryOf(W_VOTE).num(epoch).num(from).done());
        afterSync.add(new Waiting(write, from, new VoteReply(id, epoch, true, epoch, "granted"), now));
    }

    private String refusal(final int from, final VoteAsk m, final long now) {
        if (lost || !initialised) {
            return "copy is being rebuilt";
        }
        if (now - startedAt <= tempo.down()) {
            // why: before the restart it may have answered a master's beat whose lease still runs
            return "just started";
        }
        if (m.groupVersion() < groupVersion && m.endEpoch() <= epochAt(syncedLsn)) {
            return "older group version";
        }
        if (m.epoch() < epoch || (m.epoch() == epoch && votedFor != from)) {
            return "epoch " + epoch + " is taken";
        }
        if (role == MASTER && (!m.manual() || now >= handingOverUntil)) {
            return "master lives";
        }
        // why: the table's LSNs may be stale; the voter's own log as it is now is what counts
        if (newer(epochAt(syncedLsn), syncedLsn, m.endEpoch(), m.endLsn())) {
            return "own log is newer";
        }
        if (m.endLsn() == syncedLsn
                && m.endEpoch() == epochAt(syncedLsn)
                && outranks(self, from)
                && m.goes() < DEFERENCE
                && !m.manual()
                && mayStand(now)) {
            nextGo = now;
            return "ranks higher and stands itself";
        }
        return null;
    }

    private void onVoteReply(final int from, final VoteReply m, final long now) {
        if (role == MASTER) {
            return;
        }
        epochSeen = Math.max(epochSeen, m.epochSeen());
        if (role != CANDIDATE || m.epoch() != epoch || !m.granted()) {
            return;
        }
        votes.add(from);
        if (votes.size() < (founded ? majority(members.size()) : members.size())) {
            return;
        }
        role = MASTER;
        imageReceiver.reset();
        masterSince = now;
        masterHeard = self;
        lostGoes = 0;
        copies.clear();
        learnt.clear();
        handingOverUntil = Long.MIN_VALUE;
        held.clear();
        pulling = false;
        why = "won epoch " + epoch + " with votes of " + votes;
        out.note("group " + id + ": " + why);
        out.beatNow();
        // why: records of earlier epochs count as accepted only once a record of this one is
        openLsn = endLsn() + 1;
        append(Rec.OPEN, new byte[0], now, 0);
    }

    private void stepDown(final String reason) {
        role = SLAVE;
        openLsn = 0;
        masterHeard = 0;
        held.clear();
        copies.clear();
        pulling = false;
        inSync = false;
        why = "stepped down: " + reason;
        out.note("group " + id + ": " + why);
        out.beatNow();
    }

    private int liveMaster(final long now) {
        int master = 0;
        // why: a learner may have raised its epoch before it was removed, when nobody who counted heard of it
        long best = weight(self) < 0 ? epochAt(endLsn()) : epoch;
        // why: a membership here that was never accepted may leave out whoever masters the group by now
        for (final BeatTable.Row row : table.rows()) {
            final BeatEntry e = row.node() == self ? null : table.fresh(row.node(), id, now);
            if (e != null && e.role() == MASTER && e.epoch() >= best) {
                best = e.epoch();
                master = row.node();
            }
        }
        return master;
    }

    private boolean majorityAnswers(final long now) {
        int n = 1;
        for (final Member m : members) {
            n += m.node() != self
                            && table.up(m.node())
                            && now - table.row(m.node()).answeredSentAt() <= 2 * tempo.down()
                    ? 1
                    : 0;
        }
        return n >= majority(members.size());
    }

    private boolean leaseHeld(final long now) {
        return majoritySince(members, now - tempo.lease());
    }

    private boolean leaseHeld(final List<Member> voters, final long now) {
        return majoritySince(voters, now - tempo.lease());
    }

    /** Whether a majority has answered beats of this mastership that were sent at this time or later. */
    public boolean majoritySince(final long since) {
        return majoritySince(members, since);
    }

    private boolean majoritySince(final List<Member> voters, final long since) {
        int n = 1;
        for (final Member m : voters) {
            n += m.node() != self && answeredSince(m.node(), since) ? 1 : 0;
        }
        return n >= majority(voters.size());
    }

    /** Whether the node has answered a beat that told of this mastership and was sent at this time or later. */
    private boolean answeredSince(final int node, final long since) {
        final BeatTable.Row row = table.row(node);
        if (row == null || row.answeredSentAt() < since) {
            return false;
        }
        final BeatEntry told = row.answeredOwn().get(id);
        final BeatEntry theirs = row.entries().get(id);
        // why: only a beat that told of this mastership binds the one who answered it, and only a voter can be bound
        return told != null
                && told.role() == MASTER
                && told.epoch() == epoch
                && theirs != null
                && theirs.sync() != SYNC_LOST
                && theirs.epoch() <= epoch;
    }

    private boolean voting(final int node, final long now) {
        final BeatEntry e = table.fresh(node, id, now);
        return e != null && e.sync() != SYNC_LOST && table.up(node);
    }

    private static boolean newer(final long epochA, final long lsnA, final long epochB, final long lsnB) {
        return epochA > epochB || (epochA == epochB && lsnA > lsnB);
    }

    private boolean outranks(final int a, final int b) {
        final int wa = weight(a);
        final int wb = weight(b);
        return wa > wb || (wa == wb && a > b);
    }

    private int weight(final int node) {
        for (final Member m : members) {
            if (m.node() == node) {
                return m.weight();
            }
        }
        return -1;
    }

    private long spread() {
        return (long) (tempo.goHorizon() * (0.2 + rnd.nextDouble() * Math.min(4, lostGoes)));
    }

    // ---- replication

    private void pull(final long now) {
        if (role == MASTER || members.isEmpty() || !unsynced.isEmpty()) {
            return;
        }
        final int source = source(now);
        if (source == 0 || (pulling && source == pullSource && now - pullSentAt < tempo.pullHorizon())) {
            return;
        }
        sendPull(source, now);
    }

    private void sendPull(final int source, final long now) {
        pulling = true;
        pullSource = source;
        pullSentAt = now;
        final long next = wantFull ? -1 : endLsn() + 1;
        out.send(
                source,
                new Pull(
                        id,
                        groupVersion,
                        epoch,
                        next,
                        epochAt(endLsn()),
                        syncedLsn,
                        epochAt(syncedLsn),
                        lost() && joinTarget < 0 ? Pull.UNKNOWN : accepted,
                        lost(),
                        chainAt(syncedLsn),
                        imageReceiver.sum(),
                        imageReceiver.offset()));
    }

    /** The master while it can be reached; else a slave that still hears it. */
    private int source(final long now) {
        if (masterHeard != 0 && table.up(masterHeard)) {
            return masterHeard;
        }
        for (final Member m : members) {
            final BeatEntry e = m.node() == self ? null : table.fresh(m.node(), id, now);
            if (e != null
                    && table.up(m.node())
                    && e.masterHeard() != 0
                    && e.masterHeard() != self
                    && e.sync() == SYNC_PEER
                    && e.epoch() >= epoch) {
                return m.node();
            }
        }
        return 0;
    }

    private void onPull(final int from, final Pull m, final long now) {
        final boolean learner = weight(from) < 0;
        if (m.epoch() > epoch && !learner) {
            epochSeen = Math.max(epochSeen, m.epoch());
            if (role == MASTER) {
                stepDown("sibling " + from + " is in epoch " + m.epoch());
            }
            return;
        }
        if (role == MASTER
                && !m.lost()
                && epochAt(m.syncedLsn()) == m.syncedEpoch()
                && chainAt(m.syncedLsn()) != m.chain()) {
            // why: the same (epoch, LSN) must mean the same log; where it does not, the copy is no copy and is sent
            // whole
            copies.remove(from);
            learnt.remove(from);
            held.remove(from);
            out.note("group " + id + ": the copy of node " + from + " differs at or before " + m.syncedLsn()
                    + " and is sent whole");
            sendWhole(from, m, mayAct(now) ? PullReply.ACTING_MASTER : PullReply.MASTER, now);
            return;
        }
        if (role == MASTER) {
            if (learner) {
                // why: a learner's copy is looked at to see when it may vote, and counts for nothing until then; one
                // that stood in vain in a later epoch, before it was removed, may not vote in this one
                copies.remove(from);
                final boolean mayVote = !m.lost() && m.epoch() <= epoch;
                learnt.put(from, mayVote && epochAt(m.syncedLsn()) == m.syncedEpoch() ? m.syncedLsn() : -1);
            } else if (m.lost()) {
                copies.remove(from);
            } else if (m.epoch() == epoch
                    && m.syncedLsn() > baseLsn
                    && m.syncedLsn() <= endLsn()
                    && epochAt(m.syncedLsn()) == m.syncedEpoch()) {
                // why: the same (epoch, LSN) means the same log up to there, so this copy holds everything before it
                // too
                copies.merge(from, m.syncedLsn(), Math::max);
                advance(now);
            }
        } else if (!inSync(now)) {
            return;
        }
        held.remove(from);
        if (!reply(from, m, now)) {
            held.put(from, m);
        }
    }

    private boolean reply(final int to, final Pull m, final long now) {
        final long prev = m.nextLsn() - 1;
        // why: only a master that has opened its epoch knows everything that was accepted before it
        final int lead = mayAct(now) ? PullReply.ACTING_MASTER : role == MASTER ? PullReply.MASTER : PullReply.SLAVE;
        if (m.nextLsn() < 0 || prev < baseLsn) {
            sendWhole(to, m, lead, now);
            return true;
        }
        if (prev > endLsn() || epochAt(prev) != m.prevEpoch()) {
            long tryLsn = Math.min(endLsn(), prev - 1);
            while (tryLsn > baseLsn && epochAt(tryLsn) > m.prevEpoch()) {
                tryLsn--;
            }
            out.send(
                    to,
                    new PullReply(
                            id,
                            groupVersion,
                            epoch,
                            MISMATCH,
                            lead,
                            accepted,
                            prev,
                            m.prevEpoch(),
                            tryLsn,
                            new byte[0],
                            List.of()));
            return true;
        }
        final List<Rec> part = new ArrayList<>();
        int bytes = 0;
        for (long lsn = m.nextLsn(); lsn <= endLsn() && bytes < REPLY_BYTES; lsn++) {
            if (!whole(lsn)) {
                return true;
            }
            part.add(rec(lsn));
            bytes += rec(lsn).bytes().length;
        }
        // why: a member that rebuilds its copy has to hear from an acting master how far, also where nothing follows
        final boolean news = m.accepted() == Pull.UNKNOWN ? lead == PullReply.ACTING_MASTER : m.accepted() < accepted;
        if (part.isEmpty() && !news && m.epoch() >= epoch) {
            return false;
        }
        out.send(
                to,
                new PullReply(
                        id, groupVersion, epoch, RECORDS, lead, accepted, prev, m.prevEpoch(), 0, new byte[0], part));
        return true;
    }

    /** Sends the next part of this copy's image, which is built for the first who asks and kept for the others. */
    private void sendWhole(final int to, final Pull m, final int lead, final long now) {
        if (!imageSender.serves(m.imageSum(), Math.min(m.syncedLsn(), endLsn()))) {
            for (long lsn = baseLsn + 1; lsn <= endLsn(); lsn++) {
                if (!whole(lsn)) {
                    return;
                }
            }
            imageSender.hold(image(), endLsn(), now);
        }
        final ImageSender.Part part = imageSender.part(m.imageSum(), m.imageOffset(), now);
        out.send(
                to,
                new PullReply(
                        id,
                        groupVersion,
                        epoch,
                        FULL,
                        lead,
                        accepted,
                        m.nextLsn() - 1,
                        m.prevEpoch(),
                        0,
                        part.bytes(),
                        List.of(),
                        part.sum(),
                        part.total(),
                        part.offset()));
    }

    private void serveHeld(final long now) {
        held.entrySet().removeIf(h -> reply(h.getKey(), h.getValue(), now));
    }

    /**
     * Whether the reply is older than a membership that its sender must know: one that is accepted, or that was made in
     * this epoch. A record of an earlier master that was never accepted says nothing of this one.
     */
    private boolean olderGroup(final PullReply m) {
        return m.groupVersion() < groupVersion && (membershipSettled() || epochAt(membershipLsn) == m.epoch());
    }

    private void onPullReply(final int from, final PullReply m, final long now) {
        // why: the fence: whoever acts for an older epoch or an older group is not obeyed, however late it wakes
        final boolean older = weight(self) < 0 ? m.epoch() < epochAt(endLsn()) : m.epoch() < epoch;
        if (older || (m.epoch() == epoch && olderGroup(m)) || role == MASTER || from != pullSource) {
            return;
        }
        if (m.epoch() > epoch) {
            if (role == CANDIDATE) {
                role = SLAVE;
            }
            epoch = m.epoch();
            votedFor = 0;
            epochSeen = Math.max(epochSeen, epoch);
            out.write(entryOf(W_VOTE).num(epoch).num(0).done());
        }
        pulling = false;
        // why: a late reply speaks of a log that may have grown since; cutting by it would take back acknowledged
        // records
        final boolean ofThisLog =
                wantFull ? m.askedLsn() < 0 : m.askedLsn() == endLsn() && m.askedEpoch() == epochAt(endLsn());
        if (m.kind() != RECORDS && !ofThisLog) {
            pull(now);
            return;
        }
        long matched = -1;
        switch (m.kind()) {
            case FULL -> {
                // why: a slave's log may lack what this member's counted for; whoever is mended takes the master's
                if (m.image().length == 0
                        || (m.standing() == PullReply.SLAVE && damaged)
                        || (m.standing() == PullReply.SLAVE && !lost() && !wantFull && endLsn() > 0 && accepted > 0)) {
                    return;
                }
                final byte[] image = imageReceiver.take(m);
                if (image == null) {
                    break;
                }
                loadImage(image, now);
                syncedLsn = baseLsn;
                unsynced.clear();
                unsyncedBytes = 0;
                wantFull = false;
                matched = endLsn();
                addUnsynced(out.write(entryOf(W_IMAGE).bytes(image).done()), endLsn(), image.length, now);
                why = "full sync from " + from + " up to " + endLsn();
                out.note("group " + id + ": " + why);
            }
            case MISMATCH -> {
                if (m.standing() == PullReply.SLAVE) {
                    return;
                }
                if ((m.tryLsn() < accepted && m.tryLsn() < baseLsn) || (m.tryLsn() <= baseLsn && endLsn() == baseLsn)) {
                    wantFull = true;
                } else if (m.tryLsn() < accepted) {
                    out.grave("group " + id + ": master " + from + " lacks accepted records after " + m.tryLsn());
                    return;
                } else {
                    cutTo(m.tryLsn());
                    out.write(entryOf(W_TRUNCATE).num(m.tryLsn()).done());
                    why = "diverged tail cut to " + m.tryLsn();
                    out.note("group " + id + ": " + why);
                }
            }
            default -> {
                imageReceiver.reset();
                matched = take(m, now);
            }
        }
        if (m.kind() != MISMATCH && matched >= 0) {
            accept(Math.min(m.accepted(), matched));
            if (!inSync && matched >= m.accepted()) {
                out.beatNow();
            }
            inSync = matched >= m.accepted();
            if (lost() && m.standing() == PullReply.ACTING_MASTER && joinTarget < 0) {
                joinTarget = m.accepted();
            }
            serveHeld(now);
        }
        if (unsynced.isEmpty()) {
            synced(0, now);
            pull(now);
        }
    }

    /** Appends what follows; returns up to where this log is the source's, or -1 where the reply fits another log. */
    private long take(final PullReply m, final long now) {
        // why: a late reply may belong to a log that was cut since; what came after the cut must not be called accepted
        // by it
        if (m.askedLsn() < baseLsn || m.askedLsn() > endLsn() || epochAt(m.askedLsn()) != m.askedEpoch()) {
            return -1;
        }
        long matched = m.askedLsn();
        for (final Rec rec : m.recs()) {
            if (rec.lsn() != matched + 1 || (rec.lsn() <= endLsn() && epochAt(rec.lsn()) != rec.epoch())) {
                break;
            }
            if (rec.lsn() > endLsn()) {
                store(Rec.wrap(rec.bytes(), now));
            }
            matched = rec.lsn();
        }
        return matched;
    }

    private void store(final Rec rec) {
        push(rec);
        final long write = out.write(entryOf(W_REC).bytes(rec.bytes()).done());
        addUnsynced(write, rec.lsn(), rec.bytes().length, rec.learnedAt());
    }

    private void addUnsynced(final long write, final long lsn, final int bytes, final long now) {
        unsynced.add(new Unsynced(write, lsn, bytes, now));
        unsyncedBytes += bytes;
    }

    /** How long the oldest write that this group waits for has been under way. */
    private long diskLag(final long now) {
        final long log = unsynced.isEmpty() ? 0 : now - unsynced.peek().since;
        final long votes = afterSync.isEmpty() ? 0 : now - afterSync.peek().since;
        return Math.max(log, votes);
    }

    /** Whether so much waits for this member's own disk that nothing more is to be appended. */
    public boolean diskBacklogged() {
        return unsyncedBytes > MAX_UNSYNCED_BYTES;
    }

    /** A master whose disk takes nothing hands over to a slave that has everything, if there is one. */
    private void yieldForDisk(final long now) {
        // why: without a majority among the others none of them can win, and this one had better go on
        final boolean othersCanElect = active(now) - 1 >= majority(members.size());
        if (diskLag(now) > tempo.diskPatience() && othersCanElect && now >= handingOverUntil) {
            handOverToAny(now);
        }
    }

    private void push(final Rec rec) {
        if (rec.lsn() != endLsn() + 1) {
            throw new IllegalStateException("group " + id + ": record " + rec.lsn() + " after " + endLsn());
        }
        recs.add(rec);
        chain.add(link(chain.isEmpty() ? baseChain : chain.get(chain.size() - 1), rec));
        logBytes += rec.bytes().length;
        live.apply(rec);
        if (rec.kind() == Rec.MEMBERS) {
            useMembership();
        }
    }

    private void cutTo(final long lsn) {
        imageSender.drop();
        imageReceiver.reset();
        recs.subList((int) (lsn - baseLsn), recs.size()).clear();
        chain.subList((int) (lsn - baseLsn), chain.size()).clear();
        live = states.get();
        live.load(base.save());
        recs.forEach(live::apply);
        live.accepted(accepted);
        logBytes = recs.stream().mapToLong(r -> r.bytes().length).sum();
        useMembership();
        syncedLsn = Math.min(syncedLsn, lsn);
        unsynced.removeIf(u -> u.lsn > lsn);
        unsyncedBytes = unsynced.stream().mapToLong(Unsynced::bytes).sum();
    }

    private void advance(final long now) {
        if (!leaseHeld(now)) {
            return;
        }
        final long lsn = syncedBy(members, floor());
        if (lsn > accepted && lsn >= openLsn && epochAt(lsn) == epoch) {
            if (accepted < openLsn) {
                // why: whoever only watches is told at once that it may be read from, and not with its own next beat
                out.beatNow();
            }
            accept(lsn);
            serveHeld(now);
        }
    }

    /** Up to where at least so many of these nodes have the log synced. */
    private long syncedBy(final List<Member> voters, final int needed) {
        final long[] synced = voters.stream()
                .mapToLong(m -> m.node() == self ? syncedLsn : copies.getOrDefault(m.node(), 0L))
                .sorted()
                .toArray();
        return synced[synced.length - needed];
    }

    private void accept(final long lsn) {
        if (lsn > accepted) {
            accepted = lsn;
            live.accepted(lsn);
        }
    }

    private void trim(final long now) {
        if (now < nextTrim) {
            return;
        }
        nextTrim = now + tempo.beat();
        imageSender.expire(now);
        final long limit = Math.min(imageSender.trimLimit(), Math.min(accepted, syncedLsn));
        int n = 0;
        long bytes = 0;
        while (n < recs.size() && recs.get(n).lsn() <= limit) {
            final long withThis = bytes + recs.get(n).bytes().length;
            if (live.keeps(recs.get(n), now, recs.size() - n - 1, logBytes - withThis)) {
                break;
            }
            bytes = withThis;
            n++;
        }
        if (n < TRIM_RECORDS && bytes < TRIM_BYTES) {
            return;
        }
        for (final Rec rec : recs.subList(0, n)) {
            base.apply(rec);
            base.trimmed(rec);
            live.trimmed(rec);
            if (rec.kind() == Rec.MEMBERS) {
                baseMembership = Membership.load(Pack.reader(rec.body()));
            }
            baseLsn = rec.lsn();
            baseEpoch = rec.epoch();
        }
        base.accepted(baseLsn);
        logBytes -= bytes;
        recs.subList(0, n).clear();
        baseChain = chain.get(n - 1);
        chain.subList(0, n).clear();
    }

    private static long link(final long before, final Rec rec) {
        final long d = (before ^ rec.madeSum() ^ rec.lsn() << 32) * 0x9E3779B97F4A7C15L;
        return d ^ d >>> 31;
    }

    /** A digest of the whole log up to there; -1 where this copy does not reach. */
    public long chainAt(final long lsn) {
        return lsn == baseLsn ? baseChain : lsn < baseLsn || lsn > endLsn() ? -1 : chain.get((int) (lsn - baseLsn - 1));
    }

    // ---- repair

    /**
     * Whether the record is as it was made. Where not, this copy is out and is mended from another, and nothing of it
     * is served.
     */
    public boolean whole(final long lsn) {
        if (rec(lsn).whole()) {
            return true;
        }
        if (!lost()) {
            damaged = true;
            imageReceiver.reset();
            joinTarget = -1;
            wantFull = true;
            inSync = false;
            if (role == MASTER) {
                stepDown("record " + lsn + " is damaged");
            }
            out.note("group " + id + ": record " + lsn + " is damaged; the copy is mended");
        }
        return false;
    }

    /** A few records each time, round and round: finds what no read has met. */
    private void sweep() {
        for (int i = 0; i < SWEPT_AT_ONCE && swept < recs.size(); i++) {
            if (!whole(baseLsn + 1 + swept++)) {
                return;
            }
        }
        swept = swept >= recs.size() ? 0 : swept;
    }

    private long epochAt(final long lsn) {
        return lsn == baseLsn ? baseEpoch : lsn < baseLsn || lsn > endLsn() ? -1 : rec(lsn).epoch();
    }

    private byte[] image() {
        final Pack pack = Pack.writer()
                .num(baseLsn)
                .num(baseEpoch)
                .num(baseChain)
                .bytes(base.save())
                .num(recs.size());
        recs.forEach(r -> pack.bytes(r.bytes()));
        if (baseMembership != null) {
            pack.bytes(baseMembership.save());
        }
        return pack.done();
    }

    private void loadImage(final byte[] image, final long now) {
        final Pack in = Pack.reader(image);
        imageSender.drop();
        imageReceiver.reset();
        recs.clear();
        chain.clear();
        logBytes = 0;
        swept = 0;
        baseLsn = in.num();
        baseEpoch = in.num();
        baseChain = in.num();
        final byte[] saved = in.bytes();
        base = states.get();
        base.load(saved);
        live = states.get();
        live.load(saved);
        for (long n = in.num(); n > 0; n--) {
            push(Rec.wrap(in.bytes(), now));
        }
        baseMembership = in.more() ? Membership.load(Pack.reader(in.bytes())) : null;
        useMembership();
        accept(baseLsn);
        base.accepted(baseLsn);
        live.accepted(accepted);
    }

    private Pack entryOf(final int kind) {
        return Pack.writer().num(id).num(kind);
    }
}
