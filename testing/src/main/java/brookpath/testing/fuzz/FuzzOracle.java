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
 * Checks the members' internal state after each event: there is one leader per term and one acting leader at a time,
 * and committed records never change and are in the log of each later leader.
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

    /** Checks a member after an event, compared with its state at the previous check. */
    void check(final FuzzMember member, final FuzzMember.Observed before) {
        final GroupMachine group = member.group();
        if (group.role() == GroupMachine.LEADER && before.role() != GroupMachine.LEADER) {
            checkNewLeader(member.id(), group);
        }
        if (group.role() == GroupMachine.LEADER
                && before.role() == GroupMachine.LEADER
                && group.committed() > before.committed()
                && group.committed() < group.openIndex()) {
            // The damage would show only after three more leader changes, so the rule itself is checked.
            violation("leader " + member.id() + " of term " + group.term() + " commits " + group.committed()
                    + " before the first record of its term at " + group.openIndex());
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
            // A leader of an older term, elected late, may lack what a later leader committed, but it cannot act.
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

    /**
     * Checks the rules for membership changes, because the damage of a violation would show only after more failures.
     */
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
            violation("only " + replicas + " of the next voters have synced what is committed, from " + from + " to "
                    + to);
        }
    }

    private boolean hasSynced(final Member voter, final long index) {
        final GroupMachine group = context.members.get(voter.node()).group();
        return group != null && !group.lost() && group.syncedIndex() >= index;
    }
}
