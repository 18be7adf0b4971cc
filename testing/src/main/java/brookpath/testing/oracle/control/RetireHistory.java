package brookpath.testing.oracle.control;

import java.util.Map;
import java.util.TreeMap;

/** Checks retirements of storage machines, as their callers saw them. */
public final class RetireHistory {
    /** An acknowledged retirement completes within this time, counted while the core is settled. */
    public static final long COMPLETE_MS = 30_000;

    /** The progress of a retirement, as reported to a caller. */
    public enum Progress {
        UNKNOWN,
        RUNNING,
        COMPLETED
    }

    private static final class Retirement {
        long acceptedAt = Long.MAX_VALUE;
        boolean acknowledged;
        long settledMs;
        boolean completed;
        boolean removed;
        boolean reported;
    }

    private final ControlViolations violations;
    private final Map<String, Retirement> retirements = new TreeMap<>();
    private long watchedAt;

    /** Adds the violations that it finds to these. */
    public RetireHistory(final ControlViolations violations) {
        this.violations = violations;
    }

    private Retirement of(final String name) {
        return retirements.computeIfAbsent(name, key -> new Retirement());
    }

    /** Records that a retirement was acknowledged, whether or not the answer arrived. */
    public void acknowledged(final long at, final String name) {
        final Retirement retirement = of(name);
        retirement.acknowledged = true;
        retirement.acceptedAt = Math.min(retirement.acceptedAt, at);
    }

    /** Checks a refusal of a retirement, with a status from 400 to 499. */
    public void refused(final long startedAt, final long at, final String name, final int status) {
        final Retirement retirement = of(name);
        if (startedAt > retirement.acceptedAt) {
            violations.add(
                    at,
                    ControlRule.RETIREMENT,
                    "the retirement of " + name + " was accepted at " + retirement.acceptedAt + " but refused with "
                            + status + " when it was sent again");
        }
    }

    /** Checks the progress of a retirement that was reported to a caller. */
    public void progress(final long startedAt, final long at, final String name, final Progress progress) {
        final Retirement retirement = of(name);
        if (progress == Progress.UNKNOWN) {
            if (startedAt > retirement.acceptedAt && !retirement.removed) {
                violations.add(
                        at,
                        ControlRule.RETIREMENT,
                        "the retirement of " + name + " was accepted at " + retirement.acceptedAt + " but is unknown");
            }
            return;
        }
        retirement.acceptedAt = Math.min(retirement.acceptedAt, at);
        if (progress == Progress.COMPLETED) {
            retirement.completed = true;
        } else if (retirement.completed && !retirement.removed) {
            violations.add(at, ControlRule.RETIREMENT, "the retirement of " + name + " was completed but runs again");
        }
    }

    /** Records that the retired machine was shut down permanently. */
    public void removed(final String name) {
        of(name).removed = true;
    }

    /** Checks, called periodically, that acknowledged retirements complete while the core is settled. */
    public void watch(final long now, final boolean settled) {
        final long step = now - watchedAt;
        watchedAt = now;
        retirements.forEach((name, retirement) -> {
            if (!retirement.acknowledged || retirement.completed || retirement.removed) {
                return;
            }
            retirement.settledMs += settled ? step : 0;
            if (retirement.settledMs > COMPLETE_MS && !retirement.reported) {
                retirement.reported = true;
                violations.add(
                        now,
                        ControlRule.RETIREMENT,
                        "the retirement of " + name + " has not completed in " + retirement.settledMs
                                + " ms while the core was settled");
            }
        });
    }
}
