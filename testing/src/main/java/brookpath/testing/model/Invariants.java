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

/** What must hold after every event, looked at from outside and from the inside of the members. */
final class Invariants {
    /** A record that a leader committed, and in which term. */
    private record Committed(byte[] bytes, long term) {}

    private record Ballot(int voter, long term) {}

    @NotHashed
    final History history = new History();

    @NotHashed
    private final ModelWorld world;

    private final TreeMap<Long, Committed> committed = new TreeMap<>();
    private final TreeMap<Long, Integer> leaderOf = new TreeMap<>();
    private final Map<Ballot, Integer> votes = new TreeMap<>((a, b) ->
            a.voter() != b.voter() ? Integer.compare(a.voter(), b.voter()) : Long.compare(a.term(), b.term()));
    private Membership settled;

    Invariants(final ModelWorld world) {
        this.world = world;
    }

    int leaders() {
        return leaderOf.size();
    }

    int committedRecords() {
        return committed.size();
    }

    void afterEvent(final ModelMember m) {
        final GroupMachine g = m.group;
        final boolean leader = g.role() == GroupMachine.LEADER;
        if (leader && m.lastRole != GroupMachine.LEADER) {
            becameLeader(m);
        } else if (leader && g.committed() > m.lastCommitted) {
            leaderCommitted(m);
        }
        if (g.committed() > m.lastCommitted) {
            compareCommitted(m);
            m.lastCommitted = g.committed();
        }
        m.lastRole = g.role();
        if (m.rebuildTo > 0 && m.durable().endIndex() >= m.rebuildTo) {
            m.rebuildTo = 0;
        }
        if (m.runs() && g.mayAct(world.clock(m))) {
            acts(m);
        }
        oneActing();
    }

    void afterChoice() {
        oneActing();
        for (final ModelMember m : world.members) {
            if (m.runs() && m.group.mayAct(world.clock(m))) {
                history.read(m);
            }
        }
    }

    void afterTime() {
        oneActing();
    }

    private void oneActing() {
        ModelMember acting = null;
        for (final ModelMember m : world.members) {
            if (m.runs() && m.group.mayAct(world.clock(m))) {
                if (acting != null) {
                    throw new Violation("members " + acting.id + " and " + m.id + " act as masters at once");
                }
                acting = m;
            }
        }
    }

    private void becameLeader(final ModelMember m) {
        final GroupMachine g = m.group;
        final Integer other = leaderOf.put(g.term(), m.id);
        if (other != null && other != m.id) {
            throw new Violation("epoch " + g.term() + " has two masters, " + other + " and " + m.id);
        }
        committed.forEach((index, record) -> {
            // Why: a leader of an older term that wins late may lack what a later one committed; it cannot act.
            if (record.term < g.term() && !holds(g, index, record.bytes)) {
                throw new Violation("master " + m.id + " of epoch " + g.term() + " lacks accepted record " + index);
            }
        });
    }

    private static boolean holds(final GroupMachine g, final long index, final byte[] bytes) {
        return index <= g.baseIndex()
                || (index <= g.endIndex() && Arrays.equals(g.logRecord(index).bytes(), bytes));
    }

    /** Whether a copy has all that the leader committed. */
    private static boolean holdsCommitted(final GroupMachine copy, final GroupMachine leader) {
        final long index = leader.committed();
        return index <= leader.baseIndex()
                ? copy.endIndex() >= index
                : holds(copy, index, leader.logRecord(index).bytes());
    }

    private void leaderCommitted(final ModelMember m) {
        final GroupMachine g = m.group;
        if (g.committed() < g.openIndex()) {
            throw new Violation(
                    "master " + m.id + " accepts " + g.committed() + " before its own record at " + g.openIndex());
        }
        final int voters = g.membership().voters().size();
        final int floor = Math.max(Math.min(voters, ModelMember.TOLERATED_LOSSES + 1), majority(voters));
        int copies = 0;
        for (final Member voter : g.membership().voters()) {
            final ModelMember v = world.member(voter.node());
            // Why: a copy that was lost with its disk may have been counted before.
            copies += v.wipes > 0 || holdsCommitted(v.durable(), g) ? 1 : 0;
        }
        if (copies < floor) {
            throw new Violation("master " + m.id + " accepts " + g.committed() + " with " + copies + " of " + floor
                    + " synced copies among " + voters + " voters");
        }
    }

    private void compareCommitted(final ModelMember m) {
        final GroupMachine g = m.group;
        final long first = Math.max(1, Math.max(g.baseIndex() + 1, m.lastCommitted + 1));
        for (long index = first; index <= g.committed(); index++) {
            final Committed known = committed.putIfAbsent(
                    index, new Committed(g.logRecord(index).bytes(), g.term()));
            if (known != null && !Arrays.equals(known.bytes, g.logRecord(index).bytes())) {
                throw new Violation("member " + m.id + " holds another record as accepted at " + index);
            }
        }
        history.committed(m);
    }

    private void acts(final ModelMember m) {
        final GroupMachine g = m.group;
        if (g.committed() < g.openIndex()) {
            throw new Violation("member " + m.id + " acts before its own record at " + g.openIndex() + " is accepted");
        }
        if (!committed.isEmpty() && g.committed() < committed.lastKey()) {
            throw new Violation("member " + m.id + " acts with " + g.committed() + " accepted, " + committed.lastKey()
                    + " was accepted before");
        }
        if (!g.hasMembershipInLog() || !g.membershipSettled() || g.membership().equals(settled)) {
            return;
        }
        if (settled != null) {
            follows(settled, g.membership());
        }
        settled = g.membership();
    }

    private static void follows(final Membership before, final Membership after) {
        final Set<Integer> all = nodes(before);
        final int shared = (int) nodes(after).stream().filter(all::contains).count();
        all.addAll(nodes(after));
        final int overlap =
                majority(before.voters().size()) + majority(after.voters().size()) - all.size();
        if (after.version() != before.version() + 1 || all.size() - shared > 1 || overlap < 1) {
            throw new Violation("membership " + after + " follows " + before);
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

    /** Votes are promises: durable before they are told, one for each term, and none by a copy that was lost. */
    void onSend(final ModelMember m, final int to, final PeerMessage message) {
        if (message instanceof PeerMessage.VoteReply reply && reply.granted()) {
            voted(m, reply.term(), to);
        } else if (message instanceof PeerMessage.VoteRequest ask) {
            voted(m, ask.term(), m.id);
        } else if (message instanceof PeerMessage.Pull pull
                && m.wipes > 0
                && !pull.lost()
                && m.durable().lost()) {
            throw new Violation("member " + m.id + " counts again before it is synced that its copy is rebuilt");
        }
    }

    private void voted(final ModelMember m, final long term, final int candidate) {
        if (m.durable().term() < term) {
            throw new Violation("member " + m.id + " tells of its vote in epoch " + term + " before it is synced");
        }
        final Integer other = votes.put(new Ballot(m.id, term), candidate);
        if (other != null && other != candidate) {
            throw new Violation("member " + m.id + " votes for " + other + " and " + candidate + " in epoch " + term);
        }
        if (m.rebuildTo > 0) {
            throw new Violation("member " + m.id + " lost its disk and votes before it has " + m.rebuildTo);
        }
    }

    void beforeWipe(final ModelMember m) {
        m.rebuildTo = committed.isEmpty() ? 0 : committed.lastKey();
    }

    void beforePromotion(final ModelMember leader, final ModelMember learner) {
        final GroupMachine g = leader.group;
        final boolean copied = holdsCommitted(learner.durable(), g);
        if (learner.wipes == 0 && !copied) {
            throw new Violation("learner " + learner.id + " is promoted without a copy up to " + g.committed());
        }
    }

    /** What still differs from one leader that acts and whose log all voters have; null for nothing. */
    String discord() {
        final ModelMember leader = world.acting();
        if (leader == null) {
            return "no master acts though everything is healed; " + Schedule.describe(world);
        }
        final GroupMachine g = leader.group;
        for (final Member voter : g.membership().voters()) {
            final GroupMachine other = world.member(voter.node()).group;
            if (other.endIndex() != g.endIndex()
                    || other.committed() != g.committed()
                    || other.digestAt(other.endIndex()) != g.digestAt(g.endIndex())
                    || other.lost()) {
                return "member " + voter.node() + " never catches up; " + Schedule.describe(world);
            }
        }
        return null;
    }

    /** What the callers saw is what one log could have given them. */
    void linearizable() {
        final String broken = new Linearizability(history.operations()).check();
        if (broken != null) {
            throw new Violation(broken);
        }
    }

    /** The application's records of a log up to its committed position, oldest first. */
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
