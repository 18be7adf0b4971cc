package brookpath.testing.model;

import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.group.Member;
import brookpath.coordination.group.Membership;
import brookpath.coordination.message.PeerMessage;
import brookpath.state.record.LogRecord;
import java.util.Arrays;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** The invariants that are checked after every event, on what callers see and on the members' internal state. */
final class Invariants {
    /** A committed record, and the term in which it was committed. */
    private record Committed(byte[] bytes, long term) {}

    private record Ballot(int voter, long term) {}

    @NotHashed
    final History history = new History();

    @NotHashed
    private final ModelWorld world;

    private final TreeMap<Long, Committed> committedByIndex = new TreeMap<>();
    private final TreeMap<Long, Integer> leaderByTerm = new TreeMap<>();
    private final Map<Ballot, Integer> votes = new TreeMap<>((a, b) ->
            a.voter() != b.voter() ? Integer.compare(a.voter(), b.voter()) : Long.compare(a.term(), b.term()));
    private Membership settledMembership;

    Invariants(final ModelWorld world) {
        this.world = world;
    }

    int leaders() {
        return leaderByTerm.size();
    }

    int committedRecords() {
        return committedByIndex.size();
    }

    void afterEvent(final ModelMember m) {
        final GroupMachine g = m.group;
        final boolean leader = g.role() == GroupMachine.LEADER;
        if (leader && m.lastRole != GroupMachine.LEADER) {
            checkNewLeader(m);
        } else if (leader && g.committed() > m.lastCommitted) {
            checkCommitQuorum(m);
        }
        if (g.committed() > m.lastCommitted) {
            checkCommitted(m);
            m.lastCommitted = g.committed();
        }
        m.lastRole = g.role();
        if (m.rebuildUntil > 0 && m.durable().endIndex() >= m.rebuildUntil) {
            m.rebuildUntil = 0;
        }
        if (m.runs() && g.mayAct(world.clock(m))) {
            checkActingLeader(m);
        }
        checkOneActingLeader();
    }

    void afterChoice() {
        checkOneActingLeader();
        for (final ModelMember m : world.members) {
            if (m.runs() && m.group.mayAct(world.clock(m))) {
                history.read(m);
            }
        }
    }

    void afterTime() {
        checkOneActingLeader();
    }

    private void checkOneActingLeader() {
        ModelMember acting = null;
        for (final ModelMember m : world.members) {
            if (m.runs() && m.group.mayAct(world.clock(m))) {
                if (acting != null) {
                    throw new Violation("members " + acting.id + " and " + m.id + " act as leaders at once");
                }
                acting = m;
            }
        }
    }

    private void checkNewLeader(final ModelMember m) {
        final GroupMachine g = m.group;
        final Integer other = leaderByTerm.put(g.term(), m.id);
        if (other != null && other != m.id) {
            throw new Violation("term " + g.term() + " has two leaders, " + other + " and " + m.id);
        }
        committedByIndex.forEach((index, record) -> {
            // A leader of an older term, elected late, may lack what a later leader committed, but it cannot act.
            if (record.term < g.term() && !holds(g, index, record.bytes)) {
                throw new Violation("leader " + m.id + " of term " + g.term() + " lacks committed record " + index);
            }
        });
    }

    private static boolean holds(final GroupMachine g, final long index, final byte[] bytes) {
        return index <= g.baseIndex()
                || (index <= g.endIndex() && Arrays.equals(g.logRecord(index).bytes(), bytes));
    }

    /** Whether a replica has everything that the leader has committed. */
    private static boolean holdsCommitted(final GroupMachine copy, final GroupMachine leader) {
        final long index = leader.committed();
        return index <= leader.baseIndex()
                ? copy.endIndex() >= index
                : holds(copy, index, leader.logRecord(index).bytes());
    }

    private void checkCommitQuorum(final ModelMember m) {
        final GroupMachine g = m.group;
        if (g.committed() < g.openIndex()) {
            throw new Violation("leader " + m.id + " commits " + g.committed()
                    + " before the first record of its term at " + g.openIndex());
        }
        final int voters = g.membership().voters().size();
        final int floor = Math.max(Math.min(voters, ModelMember.TOLERATED_LOSSES + 1), majority(voters));
        int replicas = 0;
        for (final Member voter : g.membership().voters()) {
            final ModelMember v = world.member(voter.node());
            // a replica that was lost with its disk may have been counted before the loss
            replicas += v.wipes > 0 || holdsCommitted(v.durable(), g) ? 1 : 0;
        }
        if (replicas < floor) {
            throw new Violation("leader " + m.id + " commits " + g.committed() + " with " + replicas + " of " + floor
                    + " synced replicas among " + voters + " voters");
        }
    }

    private void checkCommitted(final ModelMember m) {
        final GroupMachine g = m.group;
        final long first = Math.max(1, Math.max(g.baseIndex() + 1, m.lastCommitted + 1));
        for (long index = first; index <= g.committed(); index++) {
            final Committed known = committedByIndex.putIfAbsent(
                    index, new Committed(g.logRecord(index).bytes(), g.term()));
            if (known != null && !Arrays.equals(known.bytes, g.logRecord(index).bytes())) {
                throw new Violation("member " + m.id + " has another committed record at " + index);
            }
        }
        history.committed(m);
    }

    private void checkActingLeader(final ModelMember m) {
        final GroupMachine g = m.group;
        if (g.committed() < g.openIndex()) {
            throw new Violation("member " + m.id + " acts before the first record of its term at " + g.openIndex()
                    + " is committed");
        }
        if (!committedByIndex.isEmpty() && g.committed() < committedByIndex.lastKey()) {
            throw new Violation("member " + m.id + " acts with " + g.committed() + " committed, although "
                    + committedByIndex.lastKey() + " was committed before");
        }
        if (!g.hasMembershipInLog() || !g.membershipSettled() || g.membership().equals(settledMembership)) {
            return;
        }
        if (settledMembership != null) {
            checkMembershipChange(settledMembership, g.membership());
        }
        settledMembership = g.membership();
    }

    private static void checkMembershipChange(final Membership before, final Membership after) {
        final Set<Integer> all = nodes(before);
        final int shared = (int) nodes(after).stream().filter(all::contains).count();
        all.addAll(nodes(after));
        final int overlap =
                majority(before.voters().size()) + majority(after.voters().size()) - all.size();
        if (after.version() != before.version() + 1 || all.size() - shared > 1 || overlap < 1) {
            throw new Violation("invalid membership change from " + before + " to " + after);
        }
    }

    private static Set<Integer> nodes(final Membership membership) {
        final Set<Integer> nodes = new HashSet<>();
        membership.voters().forEach(v -> nodes.add(v.node()));
        return nodes;
    }

    private static int majority(final int voters) {
        return voters / 2 + 1;
    }

    /**
     * A vote is binding: it is durable before it is sent, there is one for each term, and none comes from a member that
     * still rebuilds a lost replica.
     */
    void onSend(final ModelMember m, final int to, final PeerMessage message) {
        if (message instanceof PeerMessage.VoteReply reply && reply.granted()) {
            checkVote(m, reply.term(), to);
        } else if (message instanceof PeerMessage.VoteRequest ask) {
            checkVote(m, ask.term(), m.id);
        } else if (message instanceof PeerMessage.Pull pull
                && m.wipes > 0
                && !pull.lost()
                && m.durable().lost()) {
            throw new Violation(
                    "member " + m.id + " counts as a replica again before it has synced that its replica is rebuilt");
        }
    }

    private void checkVote(final ModelMember m, final long term, final int candidate) {
        if (m.durable().term() < term) {
            throw new Violation("member " + m.id + " sends its vote in term " + term + " before it is synced");
        }
        final Integer other = votes.put(new Ballot(m.id, term), candidate);
        if (other != null && other != candidate) {
            throw new Violation("member " + m.id + " votes for " + other + " and " + candidate + " in term " + term);
        }
        if (m.rebuildUntil > 0) {
            throw new Violation("member " + m.id + " lost its disk and votes before its log reaches " + m.rebuildUntil);
        }
    }

    void beforeWipe(final ModelMember m) {
        m.rebuildUntil = committedByIndex.isEmpty() ? 0 : committedByIndex.lastKey();
    }

    void beforePromotion(final ModelMember leader, final ModelMember learner) {
        final GroupMachine g = leader.group;
        final boolean replicated = holdsCommitted(learner.durable(), g);
        if (learner.wipes == 0 && !replicated) {
            throw new Violation("learner " + learner.id + " is promoted without a replica up to " + g.committed());
        }
    }

    /** Why the voters have not converged on the log of one acting leader; null if they have. */
    String disagreement() {
        final ModelMember leader = world.actingLeader();
        if (leader == null) {
            return "no leader acts although all faults are healed; " + Schedule.describe(world);
        }
        final GroupMachine g = leader.group;
        for (final Member voter : g.membership().voters()) {
            final GroupMachine other = world.member(voter.node()).group;
            if (other.endIndex() != g.endIndex()
                    || other.committed() != g.committed()
                    || other.digestAt(other.endIndex()) != g.digestAt(g.endIndex())
                    || other.lost()) {
                return "member " + voter.node() + " does not catch up; " + Schedule.describe(world);
            }
        }
        return null;
    }

    /** Checks that one log, with operations applied in some valid order, explains what the callers saw. */
    void checkLinearizable() {
        final String broken = new Linearizability(history.operations()).check();
        if (broken != null) {
            throw new Violation(broken);
        }
    }

    /** The sequence numbers of the committed publish records in a log, oldest first. */
    static long[] values(final GroupMachine g) {
        final long[] values = new long[(int) (g.committed() - g.baseIndex())];
        int n = 0;
        for (long index = g.baseIndex() + 1; index <= g.committed(); index++) {
            if (g.logRecord(index).kind() == LogRecord.PUBLISH) {
                values[n++] = g.logRecord(index).seq();
            }
        }
        return Arrays.copyOf(values, n);
    }
}
