package brookpath.coordination.group;

/** Quorum sizes: how many replicas a committed record needs, and how many voters are a majority. */
public final class Quorums {
    private Quorums() {}

    /** The smallest number of members that is more than half. */
    public static int majority(final int members) {
        return members / 2 + 1;
    }

    /**
     * The minimum number of synced replicas of a committed record. With this many, every majority that may elect a
     * leader includes a member that holds the record: a majority of these members, or of a membership with one voter
     * more or fewer, which may be in a log without being committed. For an even number, members - majority + 1 would
     * intersect every majority of these members, but not of one voter more or fewer.
     */
    public static int floor(final int members, final int toleratedLosses) {
        return Math.min(members, Math.max(toleratedLosses + 1, majority(members)));
    }

    /**
     * How many replicas have to be synced before a publish is answered, by the space's write concern {@code replSize}:
     * -1 for all active members, 0 for all members, else that many; never fewer than the floor.
     */
    public static int resolve(final int replSize, final int members, final int active, final int floor) {
        return Math.max(floor, replSize == -1 ? active : replSize == 0 ? members : replSize);
    }
}
