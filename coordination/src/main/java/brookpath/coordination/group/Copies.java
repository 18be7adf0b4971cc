package brookpath.coordination.group;

/** How many copies a record needs. */
public final class Copies {
    private Copies() {}

    public static int majority(final int members) {
        return members / 2 + 1;
    }

    /** With this many copies synced, each majority that may elect a master holds the record. */
    public static int floor(final int members, final int toleratedLosses) {
        return Math.min(members, Math.max(toleratedLosses + 1, members - majority(members) + 1));
    }

    /** With this many copies at least one is in each majority. */
    public static int overlap(final int members) {
        return members - majority(members) + 1;
    }

    /** ReplSize as the source has it: -1 all active members, 0 all members, else that many; never under the floor. */
    public static int resolve(final int replSize, final int members, final int active, final int floor) {
        return Math.max(floor, replSize == -1 ? active : replSize == 0 ? members : replSize);
    }
}
