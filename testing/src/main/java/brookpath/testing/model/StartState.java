package brookpath.testing.model;

import brookpath.testing.model.Choice.Kind;
import java.util.function.Predicate;

/** The states in which explorations and walks start. */
enum StartState {
    /** Three members, no election yet. */
    FOUNDED(3, 0),
    /** Three members with an acting leader and two records. */
    LED(3, 0),
    /** The same with five members. */
    LED_BY_FIVE(5, 0),
    /** The leader's last record is synced on no other member, because their disks stall. */
    UNCOMMITTED_TAIL(3, 0),
    /** The leader is cut off, and its successor has committed a record. */
    DEPOSED(3, 0),
    /** A group of three voters, and a learner that has caught up. */
    LEARNER(3, 1),
    /** Four voters, so that one may be removed. */
    FOUR_VOTERS(3, 1),
    /** A group of four voters, and a learner that has caught up. */
    LEARNER_OF_FOUR(4, 1),
    /** A long log of which only the end is retained, and an empty spare node that needs all of it. */
    TRIMMED(3, 1);

    private static final long RETENTION_MS = 600_000;
    private static final int LONG_LOG_RECORDS = 70;
    private static final int MAX_TICKS = 200;

    private final int voters;
    private final int spares;

    StartState(final int voters, final int spares) {
        this.voters = voters;
        this.spares = spares;
    }

    ModelWorld create() {
        final ModelWorld world = new ModelWorld(voters, spares, this == TRIMMED ? 0 : RETENTION_MS);
        switch (this) {
            case FOUNDED -> {}
            case LED, LED_BY_FIVE -> electLeader(world);
            case UNCOMMITTED_TAIL -> appendUncommitted(world);
            case DEPOSED -> deposeLeader(world);
            case LEARNER, LEARNER_OF_FOUR -> addLearner(world);
            case FOUR_VOTERS -> promoteLearner(world);
            case TRIMMED -> trimLog(world);
        }
        return world;
    }

    private static ModelMember leader(final ModelWorld world) {
        final ModelMember leader = world.actingLeader();
        if (leader == null) {
            throw new IllegalStateException("no acting leader in the start state");
        }
        return leader;
    }

    private static void await(final ModelWorld world, final Predicate<ModelWorld> done) {
        for (int tick = 0; tick < MAX_TICKS && !done.test(world); tick++) {
            tick(world);
        }
    }

    private static void tick(final ModelWorld world) {
        world.apply(Choice.run(Choices.TICK));
    }

    private static boolean allCommitted(final ModelMember leader) {
        return leader != null && leader.group.committed() == leader.group.endIndex();
    }

    private static void append(final ModelWorld world) {
        world.apply(Choice.of(Kind.APPEND, leader(world).id));
    }

    private static void electLeader(final ModelWorld world) {
        await(world, w -> allCommitted(w.actingLeader()));
        append(world);
        append(world);
        tick(world);
    }

    private static void appendUncommitted(final ModelWorld world) {
        electLeader(world);
        final ModelMember leader = leader(world);
        world.members.stream().filter(m -> m != leader).forEach(m -> m.diskStalled = true);
        append(world);
        tick(world);
    }

    private static void deposeLeader(final ModelWorld world) {
        electLeader(world);
        final ModelMember leader = leader(world);
        append(world);
        world.apply(Choice.of(Kind.CUT, leader.id));
        await(world, w -> w.actingLeader() != leader && allCommitted(w.actingLeader()));
        append(world);
        tick(world);
    }

    private static void addLearner(final ModelWorld world) {
        electLeader(world);
        final int spare = world.members.size();
        world.apply(new Choice(Kind.ADD_LEARNER, leader(world).id, spare));
        await(
                world,
                w -> w.placed.holds(spare)
                        && leader(w).group.learnerSyncedIndex(spare)
                                >= leader(w).group.committed());
        append(world);
        tick(world);
    }

    private static void promoteLearner(final ModelWorld world) {
        addLearner(world);
        final int members = world.members.size();
        world.apply(new Choice(Kind.PROMOTE, leader(world).id, members));
        await(world, w -> w.placed.voters().size() == members);
        append(world);
        tick(world);
    }

    private static void trimLog(final ModelWorld world) {
        await(world, w -> allCommitted(w.actingLeader()));
        world.invariants.history.stop();
        for (int i = 0; i < LONG_LOG_RECORDS; i++) {
            append(world);
        }
        await(world, w -> leader(w).group.baseIndex() > 0);
        world.appended = 0;
        tick(world);
    }
}
