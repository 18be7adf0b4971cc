package brookpath.tools.datafolder;

import brookpath.coordination.group.GroupMachine;

/**
 * Compares two replicas of a group. If both have the same term at an index, their logs must be identical up to it;
 * where the terms differ, the tail of the older term is not committed and is truncated when its node starts.
 */
final class ReplicaComparison {
    private final GroupMachine first;
    private final GroupMachine second;
    private final long firstCommonIndex;
    private final long lastCommonIndex;

    ReplicaComparison(final GroupMachine first, final GroupMachine second) {
        this.first = first;
        this.second = second;
        firstCommonIndex = Math.max(first.baseIndex(), second.baseIndex()) + 1;
        lastCommonIndex = Math.min(first.endIndex(), second.endIndex());
    }

    /** The first index at which the terms differ; one after the last common index if they do not. */
    private long indexOfDivergence() {
        long index = firstCommonIndex;
        while (index <= lastCommonIndex && termsAgree(index)) {
            index++;
        }
        return index;
    }

    private boolean termsAgree(final long index) {
        return first.logRecord(index).term() == second.logRecord(index).term();
    }

    /** The first index at which the logs differ although their terms agree; 0 if there is none. */
    long indexOfContradiction() {
        for (long index = firstCommonIndex; index <= lastCommonIndex && termsAgree(index); index++) {
            if (first.digestAt(index) != second.digestAt(index)) {
                return index;
            }
        }
        return 0;
    }

    /** The result of the comparison as text for operators. */
    String describe(final String firstFolder, final String secondFolder) {
        final String folders = firstFolder + " and " + secondFolder;
        final long contradiction = indexOfContradiction();
        final long divergence = indexOfDivergence();
        if (contradiction == 0 && divergence <= lastCommonIndex) {
            return folders + " diverge at record " + divergence + ", epochs "
                    + first.logRecord(divergence).term() + " and "
                    + second.logRecord(divergence).term()
                    + "; the older tail was not committed and is truncated when its node starts";
        }
        final long end = contradiction == 0 ? divergence : contradiction;
        return folders + " agree on " + (end - firstCommonIndex) + " records, ends " + first.endIndex() + " and "
                + second.endIndex();
    }
}
