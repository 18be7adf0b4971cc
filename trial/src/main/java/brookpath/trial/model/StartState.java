package brookpath.trial.model;

import brookpath.trial.model.Choice.Kind;
import java.util.List;
import java.util.function.Function;

/** Where explorations begin. */
enum StartState {
    /** Three members, nobody has stood yet. */
    FOUNDED(w -> List.of(), 3, 0, StartState.KEEP),
    /** A master that acts, with two records. */
    LED(StartState::led, 3, 0, StartState.KEEP),
    /** The same with five members. */
    LED_BY_FIVE(StartState::led, 5, 0, StartState.KEEP),
    /** The master's last record is synced nowhere else: the others' disks stall. */
    UNACCEPTED_TAIL(StartState::unacceptedTail, 3, 0, StartState.KEEP),
    /** The master is cut off and its successor has accepted a record. */
    DEPOSED(StartState::deposed, 3, 0, StartState.KEEP),
    /** A learner whose copy is whole. */
    LEARNER(StartState::learner, 3, 1, StartState.KEEP),
    /** Four voters, one of whom is to go. */
    FOUR_VOTERS(StartState::fourVoters, 3, 1, StartState.KEEP),
    /** The same among five. */
    LEARNER_OF_FOUR(StartState::learnerOfFour, 4, 1, StartState.KEEP),
    /** A long log of which only the end is kept, and a spare that needs all of it. */
    TRIMMED(StartState::trimmed, 3, 1, 0);

    private static final long KEEP = 600_000;
    private static final int LONG_LOG = 70;
    private static final int ELECTION = 1_500;

    private final Function<ModelWorld, List<Choice>> preparation;
    private final int voters;
    private final int spares;
    private final long keepMs;

    StartState(
            final Function<ModelWorld, List<Choice>> preparation,
            final int voters,
            final int spares,
            final long keepMs) {
        this.preparation = preparation;
        this.voters = voters;
        this.spares = spares;
        this.keepMs = keepMs;
    }

    ModelWorld create() {
        final ModelWorld world = new ModelWorld(voters, spares, keepMs);
        preparation.apply(world).forEach(world::apply);
        return world;
    }

    private static ModelMember master(final ModelWorld world) {
        final ModelMember master = world.acting();
        if (master == null) {
            throw new IllegalStateException("no master in the start state");
        }
        return master;
    }

    private static void append(final ModelWorld world) {
        world.apply(Choice.of(Kind.APPEND, master(world).id));
    }

    private static List<Choice> led(final ModelWorld world) {
        world.apply(Choice.run(ELECTION));
        append(world);
        append(world);
        return List.of(Choice.run(Choices.BEAT));
    }

    private static List<Choice> unacceptedTail(final ModelWorld world) {
        led(world).forEach(world::apply);
        final ModelMember master = master(world);
        world.members.stream().filter(m -> m != master).forEach(m -> m.diskStalled = true);
        append(world);
        return List.of(Choice.run(Choices.TICK));
    }

    private static List<Choice> deposed(final ModelWorld world) {
        led(world).forEach(world::apply);
        final ModelMember master = master(world);
        append(world);
        world.apply(Choice.of(Kind.CUT, master.id));
        world.apply(Choice.run(ELECTION));
        append(world);
        return List.of(Choice.run(Choices.TICK));
    }

    private static List<Choice> learner(final ModelWorld world) {
        return learner(world, 4);
    }

    private static List<Choice> learnerOfFour(final ModelWorld world) {
        return learner(world, 5);
    }

    private static List<Choice> learner(final ModelWorld world, final int spare) {
        led(world).forEach(world::apply);
        world.apply(new Choice(Kind.ADD_LEARNER, master(world).id, spare));
        world.apply(Choice.run(ELECTION));
        append(world);
        return List.of(Choice.run(ELECTION));
    }

    private static List<Choice> fourVoters(final ModelWorld world) {
        learner(world).forEach(world::apply);
        world.apply(new Choice(Kind.PROMOTE, master(world).id, 4));
        world.apply(Choice.run(ELECTION));
        append(world);
        return List.of(Choice.run(Choices.BEAT));
    }

    private static List<Choice> trimmed(final ModelWorld world) {
        world.apply(Choice.run(ELECTION));
        world.invariants.history.stop();
        for (int i = 0; i < LONG_LOG; i++) {
            world.apply(Choice.of(Kind.APPEND, master(world).id));
        }
        world.apply(Choice.run(ELECTION));
        world.appended = 0;
        return List.of(Choice.run(Choices.BEAT));
    }
}
