package brookpath.testing.oracle.control;

import java.util.Map;
import java.util.TreeMap;

/** Orders to empty a storage machine, as their callers saw them. */
public final class RetireHistory {
    /** An acknowledged retirement completes within this much settled time. */
    public static final long COMPLETE_MS = 30_000;

    /** How far a retirement is, as a caller is told. */
    public enum Progress {
        UNKNOWN,
        RUNNING,
        COMPLETED
    }

    private static final class Retirement {
        long takenAt = Long.MAX_VALUE;
        boolean acknowledged;
        long settledMs;
        boolean completed;
        boolean removed;
        boolean checked;
    }

    private final ControlViolations violations;
    private final Map<String, Retirement> retirements = new TreeMap<>();
    private long watchedAt;

    /** Adds what it finds to these violations. */
    public RetireHistory(final ControlViolations violations) {
        this.violations = violations;
    }

    private Retirement of(final String name) {
        return retirements.computeIfAbsent(name, key -> new Retirement());
    }

    /** An order to empty the machine was acknowledged, whether or not the answer arrived. */
    public void acknowledged(final long at, final String name) {
        final Retirement retirement = of(name);
        retirement.acknowledged = true;
        retirement.takenAt = Math.min(retirement.takenAt, at);
    }

    /** An order to empty the machine was refused with a status from 400 to 499. */
    public void refused(final long startedAt, final long at, final String name, final int status) {
        final Retirement retirement = of(name);
        if (startedAt > retirement.takenAt) {
            violations.add(
                    at,
                    ControlRule.RETIREMENT,
                    "the retirement of " + name + " was taken at " + retirement.takenAt + ", and refused with " + status
                            + " when it was sent again");
        }
    }

    /** A caller asked how far the retirement is. */
    public void progress(final long startedAt, final long at, final String name, final Progress progress) {
        final Retirement retirement = of(name);
        if (progress == Progress.UNKNOWN) {
            if (startedAt > retirement.takenAt && !retirement.removed) {
                violations.add(
                        at,
                        ControlRule.RETIREMENT,
                        "the retirement of " + name + " was taken at " + retirement.takenAt + " and is unknown");
            }
            return;
        }
        retirement.takenAt = Math.min(retirement.takenAt, at);
        if (progress == Progress.COMPLETED) {
            retirement.completed = true;
        } else if (retirement.completed && !retirement.removed) {
            violations.add(at, ControlRule.RETIREMENT, "the retirement of " + name + " was completed and runs again");
        }
    }

    /** The emptied machine has been shut down for good. */
    public void removed(final String name) {
        of(name).removed = true;
    }

    /** From time to time: an acknowledged retirement has to get on while the core is settled. */
    public void watch(final long now, final boolean settled) {
        final long step = now - watchedAt;
        watchedAt = now;
        retirements.forEach((name, retirement) -> {
            if (!retirement.acknowledged || retirement.completed || retirement.removed) {
                return;
            }
            retirement.settledMs += settled ? step : 0;
            if (retirement.settledMs > COMPLETE_MS && !retirement.checked) {
                retirement.checked = true;
                violations.add(
                        now,
                        ControlRule.RETIREMENT,
                        "the retirement of " + name + " has not completed in " + retirement.settledMs
                                + " ms of settled time");
            }
        });
    }
}
