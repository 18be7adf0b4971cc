package brookpath.testing.model;

import brookpath.testing.model.Choice.Kind;
import java.util.function.Predicate;

/** Where explorations begin. */
enum StartState {
    /** Three members, nobody has stood yet. */
    FOUNDED(3, 0),
    /** A leader that acts, with two records. */
    LED(3, 0),
    /** The same with five members. */
    LED_BY_FIVE(5, 0),
    /** The leader's last record is synced nowhere else: the others' disks stall. */
    UNCOMMITTED_TAIL(3, 0),
    /** The leader is cut off and its successor has committed a record. */
    DEPOSED(3, 0),
    /** A learner whose copy is whole. */
    LEARNER(3, 1),
    /** Four voters, one of whom is to go. */
    FOUR_VOTERS(3, 1),
    /** A learner whose copy is whole, of a group of four. */
    LEARNER_OF_FOUR(4, 1),
    /** A long log of which only the end is kept, and a spare that needs all of it. */
    TRIMMED(3, 1);

    private static final long KEEP = 600_000;
    private static final int LONG_LOG = 70;
    private static final int MOST_TICKS = 200;

    private final int voters;
    private final int spares;

    StartState(final int voters, final int spares) {
        this.voters = voters;
        this.spares = spares;
    }

    ModelWorld create() {
        final ModelWorld world = new ModelWorld(voters, spares, this == TRIMMED ? 0 : KEEP);
        switch (this) {
            case FOUNDED -> {}
            case LED, LED_BY_FIVE -> lead(world);
            case UNCOMMITTED_TAIL -> appendUncommitted(world);
            case DEPOSED -> depose(world);
            case LEARNER, LEARNER_OF_FOUR -> learn(world);
            case FOUR_VOTERS -> promote(world);
            case TRIMMED -> trim(world);
        }
        return world;
    }

    private static ModelMember leader(final ModelWorld world) {
        final ModelMember leader = world.acting();
        if (leader == null) {
            throw new IllegalStateException("no master in the start state");
        }
        return leader;
    }

    private static void await(final ModelWorld world, final Predicate<ModelWorld> done) {
        for (int tick = 0; tick < MOST_TICKS && !done.test(world); tick++) {
            tick(world);
        }
    }

    private static void tick(final ModelWorld world) {
        world.apply(Choice.run(Choices.TICK));
    }

    private static boolean settled(final ModelMember leader) {
        return leader != null && leader.group.committed() == leader.group.endIndex();
    }

    private static void append(final ModelWorld world) {
        world.apply(Choice.of(Kind.APPEND, leader(world).id));
    }

    private static void lead(final ModelWorld world) {
        await(world, w -> settled(w.acting()));
        append(world);
        append(world);
        tick(world);
    }

    private static void appendUncommitted(final ModelWorld world) {
        lead(world);
        final ModelMember leader = leader(world);
        world.members.stream().filter(m -> m != leader).forEach(m -> m.diskStalled = true);
        append(world);
        tick(world);
    }

    private static void depose(final ModelWorld world) {
        lead(world);
        final ModelMember leader = leader(world);
        append(world);
        world.apply(Choice.of(Kind.CUT, leader.id));
        await(world, w -> w.acting() != leader && settled(w.acting()));
        append(world);
        tick(world);
    }

    private static void learn(final ModelWorld world) {
        lead(world);
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

    private static void promote(final ModelWorld world) {
        learn(world);
        final int members = world.members.size();
        world.apply(new Choice(Kind.PROMOTE, leader(world).id, members));
        await(world, w -> w.placed.voters().size() == members);
        append(world);
        tick(world);
    }

    private static void trim(final ModelWorld world) {
        await(world, w -> settled(w.acting()));
        world.invariants.history.stop();
        for (int i = 0; i < LONG_LOG; i++) {
            append(world);
        }
        await(world, w -> leader(w).group.baseIndex() > 0);
        world.appended = 0;
        tick(world);
    }
}
