package brookpath.testing.model;

import brookpath.coordination.group.GroupMachine;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.TreeMap;

/** Records what callers of the group see: appends, confirmed or with unknown outcome, and reads at acting leaders. */
final class History {
    /** Later reads are not recorded: the linearizability search becomes expensive as the history grows. */
    private static final int MAX_READS = 24;

    private static final int MAX_APPENDS = 24;

    private static final class Append {
        final long invoked;
        final int member;
        final long term;
        final long index;
        long returned = Operation.INDETERMINATE;

        Append(final long invoked, final int member, final long term, final long index) {
            this.invoked = invoked;
            this.member = member;
            this.term = term;
            this.index = index;
        }
    }

    private final TreeMap<Long, Append> appends = new TreeMap<>();
    private final List<Operation> reads = new ArrayList<>();
    private long position;
    private boolean confirmed;
    private boolean stopped;

    static boolean full(final int appended) {
        return appended >= MAX_APPENDS;
    }

    /** Discards the history and stops recording, because the log is about to be trimmed and lose its first values. */
    void stop() {
        appends.clear();
        reads.clear();
        stopped = true;
    }

    void invoked(final long value, final ModelMember m, final long index) {
        if (stopped) {
            return;
        }
        appends.put(value, new Append(++position, m.id, m.group.term(), index));
    }

    /** A leader confirms an append once it has committed it in the term in which it appended it. */
    void committed(final ModelMember m) {
        final GroupMachine g = m.group;
        if (g.role() != GroupMachine.LEADER) {
            return;
        }
        position++;
        for (final Append append : appends.values()) {
            if (append.returned == Operation.INDETERMINATE
                    && append.member == m.id
                    && append.term == g.term()
                    && append.index <= g.committed()) {
                append.returned = position;
                confirmed = true;
            }
        }
    }

    void read(final ModelMember m) {
        // a trimmed log no longer contains its first values
        if (stopped || m.group.baseIndex() > 0) {
            return;
        }
        final List<Long> seen =
                Arrays.stream(Invariants.values(m.group)).boxed().toList();
        final boolean same = !confirmed
                && !reads.isEmpty()
                && reads.get(reads.size() - 1).read().equals(seen);
        if (!same && reads.size() < MAX_READS) {
            position++;
            confirmed = false;
            reads.add(new Operation(position, position, 0, seen));
        }
    }

    List<Operation> operations() {
        final List<Operation> operations = new ArrayList<>(reads);
        appends.forEach((value, a) -> operations.add(new Operation(a.invoked, a.returned, value, List.of())));
        return operations;
    }
}
