package brookpath.trial.sim;

import static java.nio.charset.StandardCharsets.UTF_8;

import brookpath.trial.oracle.control.ControlHistory;
import brookpath.trial.oracle.control.RetireHistory.Progress;
import java.util.List;

/** An operator who has storage machines emptied by name, and shuts them down once they hold nothing. */
final class RetireOperator {
    private static final long AGAIN_MS = 500;
    private static final int OK = 200;
    private static final int UNKNOWN = 404;

    private final World world;
    private final ControlFleet fleet;
    private final ControlHistory history;
    private final ControlCall calls;
    private boolean stopped;

    RetireOperator(final World world, final ControlFleet fleet, final ControlHistory history, final ControlCall calls) {
        this.world = world;
        this.fleet = fleet;
        this.history = history;
        this.calls = calls;
    }

    /** Gives up whatever has not been completed. */
    void stop() {
        stopped = true;
    }

    /**
     * Orders that the machine be emptied, again until that is acknowledged; waits until it is empty.
     *
     * @param giveUpAt a machine that cannot be emptied by then is kept
     * @param emptied runs once a caller has been told that the machine holds nothing
     */
    void retire(final Proc storage, final long giveUpAt, final Runnable emptied) {
        world.count("control: retirements");
        order(storage, fleet.name(storage.id), giveUpAt, emptied);
    }

    private void order(final Proc storage, final String name, final long giveUpAt, final Runnable emptied) {
        if (stopped || world.now() > giveUpAt) {
            world.count("control: retirements given up");
            return;
        }
        final long startedAt = world.now();
        calls.call(
                anyController(), ControlAnswer.RETIRE, name.getBytes(UTF_8), String.valueOf(storage.id), response -> {
                    final boolean taken = response.status() / 100 == 2;
                    if (taken) {
                        history.retirements.acknowledged(world.now(), name);
                    } else if (Operators.isFinal(response.status())) {
                        world.count("control: retirements refused with " + response.status());
                        history.retirements.refused(startedAt, world.now(), name, response.status());
                    }
                    final Runnable next = taken && !calls.losesAnswer()
                            ? () -> look(storage, name, giveUpAt, emptied)
                            : () -> order(storage, name, giveUpAt, emptied);
                    world.at(world.now() + AGAIN_MS, next);
                });
    }

    private void look(final Proc storage, final String name, final long giveUpAt, final Runnable emptied) {
        final long startedAt = world.now();
        calls.call(anyController(), ControlAnswer.RETIREMENT, name.getBytes(UTF_8), "", response -> {
            if (response.status() == OK && ControlAnswer.of(response).empty()) {
                world.count("control: retirements completed");
                history.retirements.progress(startedAt, world.now(), name, Progress.COMPLETED);
                emptied.run();
                return;
            }
            if (response.status() == OK || response.status() == UNKNOWN) {
                history.retirements.progress(
                        startedAt,
                        world.now(),
                        name,
                        response.status() == OK ? Progress.RUNNING : Progress.UNKNOWN);
            }
            if (!stopped) {
                world.at(world.now() + AGAIN_MS, () -> look(storage, name, giveUpAt, emptied));
            }
        });
    }

    private Proc anyController() {
        final List<Proc> all = fleet.controllers();
        return all.get(world.rnd.nextInt(all.size()));
    }
}
