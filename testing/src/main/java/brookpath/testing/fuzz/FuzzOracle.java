package brookpath.testing.fuzz;

import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.group.Member;
import brookpath.coordination.group.Membership;
import brookpath.coordination.group.Quorums;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.TreeMap;

/**
 * Looks at the members' inside after each event: one leader a term, one acting leader at a time, committed records that
 * never change and that each later leader has.
 */
final class FuzzOracle {
    private static final int MAX_VIOLATIONS = 10;

    private final FuzzContext context;
    private final TreeMap<Long, Integer> leaderByTerm = new TreeMap<>();
    private final TreeMap<Long, byte[]> committedByIndex = new TreeMap<>();
    private final TreeMap<Long, Long> committedInTerm = new TreeMap<>();
    private final List<String> violations = new ArrayList<>();
    private final List<String> trace = new ArrayList<>();

    FuzzOracle(final FuzzContext context) {
        this.context = context;
    }

    List<String> violations() {
        return violations;
    }

    List<String> trace() {
        return trace;
    }

    int committed() {
        return committedByIndex.size();
    }

    int leaders() {
        return leaderByTerm.size();
    }

    void violation(final String text) {
        if (violations.size() < MAX_VIOLATIONS) {
            violations.add(context.now() + ": " + text);
        }
    }

    void trace(final String text) {
        trace.add(context.now() + " " + text);
    }

    /** Checks a member after an event, against what it was at the check before. */
    void check(final FuzzMember member, final FuzzMember.Observed before) {
        final GroupMachine group = member.group();
        if (group.role() == GroupMachine.LEADER && before.role() != GroupMachine.LEADER) {
            checkNewLeader(member.id(), group);
        }
        if (group.role() == GroupMachine.LEADER
                && before.role() == GroupMachine.LEADER
                && group.committed() > before.committed()
                && group.committed() < group.openIndex()) {
            // why: what that can do shows only after three more changes of leader, so the rule itself is looked at
            violation("leader " + member.id() + " of term " + group.term() + " calls " + group.committed()
                    + " committed before its own record at " + group.openIndex());
        }
        if (!group.why().equals(before.reason())) {
            trace("member " + member.id() + " term " + group.term() + " committed " + group.committed() + " synced "
                    + group.syncedIndex() + " end " + group.endIndex() + ": " + group.why());
        }
        checkCommitted(member.id(), group);
        checkOneActingLeader();
    }

    private void checkNewLeader(final int node, final GroupMachine group) {
        final Integer other = leaderByTerm.put(group.term(), node);
        if (other != null && other != node) {
            violation("term " + group.term() + " has two leaders, " + other + " and " + node);
        }
        committedByIndex.forEach((index, bytes) -> {
            // why: an attempt that was won late, in an older term, may lack what a later leader committed; it cannot
            // act
            if (committedInTerm.get(index) < group.term() && lacks(group, index, bytes)) {
                violation("leader " + node + " of term " + group.term() + " lacks committed record " + index);
            }
        });
    }

    private static boolean lacks(final GroupMachine group, final long index, final byte[] bytes) {
        return index > group.endIndex()
                || (index > group.baseIndex()
                        && !Arrays.equals(group.logRecord(index).bytes(), bytes));
    }

    private void checkCommitted(final int node, final GroupMachine group) {
        final long first = committedByIndex.isEmpty() ? 1 : Math.max(1, committedByIndex.lastKey() - 3);
        for (long index = first; index <= group.committed(); index++) {
            if (index > group.baseIndex()) {
                final byte[] bytes = group.logRecord(index).bytes();
                final byte[] other = committedByIndex.putIfAbsent(index, bytes);
                committedInTerm.putIfAbsent(index, group.term());
                if (other != null && !Arrays.equals(other, bytes)) {
                    violation("member " + node + " has another committed record at " + index);
                }
            }
        }
    }

    private void checkOneActingLeader() {
        int acting = 0;
        for (final FuzzMember member : context.members.values()) {
            acting += member.acts() ? 1 : 0;
        }
        if (acting > 1) {
            violation(acting + " leaders act at once");
        }
    }

    /** What a change must not do, though its harm would show only after further failures. */
    void checkChange(final Membership from, final Membership to, final long committedBefore) {
        final List<Member> joining = Membership.missing(to.voters(), from.voters());
        final List<Member> leaving = Membership.missing(from.voters(), to.voters());
        if (joining.size() + leaving.size() > 1) {
            violation("several voters change at once, from " + from + " to " + to);
        }
        if (joining.stream().anyMatch(voter -> !hasSynced(voter, committedBefore))) {
            violation("a voter joins without its replica, from " + from + " to " + to);
        }
        final long replicas = to.voters().stream()
                .filter(voter -> hasSynced(voter, committedBefore))
                .count();
        if (replicas < Quorums.floor(to.voters().size(), 1)) {
            violation("only " + replicas + " of the next voters have what is committed, from " + from + " to " + to);
        }
    }

    private boolean hasSynced(final Member voter, final long index) {
        final GroupMachine group = context.members.get(voter.node()).group();
        return group != null && !group.lost() && group.syncedIndex() >= index;
    }
}
