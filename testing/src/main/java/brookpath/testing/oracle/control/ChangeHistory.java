package brookpath.testing.oracle.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Checks changes and reads of the configuration as their callers saw them. A change whose acknowledgement was lost on
 * its way counts as acknowledged, because the test that dropped it knows that it was given.
 */
public final class ChangeHistory {
    /** A complete configuration that is to replace the version on which it is based. */
    public record Change(String changeId, long basedOn, String document, boolean valid, long firstSentAt) {}

    private record Refusal(long at, String changeId, int status) {}

    private static final int CONFLICT = 409;

    private final ControlViolations violations;
    private final Map<String, Change> sent = new HashMap<>();
    private final Map<Long, String> acknowledgedOn = new HashMap<>();
    private final TreeMap<Long, String> acknowledgedAs = new TreeMap<>();
    private final Map<Long, String> inForce = new HashMap<>();
    private final Set<String> applied = new HashSet<>();
    private final List<Refusal> refusals = new ArrayList<>();
    /** The newest version known to any caller, by the time from which it was known. */
    private final TreeMap<Long, Long> knownAt = new TreeMap<>();

    /** Adds the violations that it finds to these. */
    public ChangeHistory(final ControlViolations violations) {
        this.violations = violations;
    }

    /** Records that a change is about to be sent for the first time. */
    public void sent(final Change change) {
        sent.put(change.changeId(), change);
    }

    /** Checks a successful answer to a change. */
    public void acknowledged(final long at, final String changeId, final long version) {
        final Change change = sent.get(changeId);
        if (change == null || !change.valid()) {
            violations.add(at, ControlRule.INVALID_IN_FORCE, changeId + " was acknowledged as version " + version);
            return;
        }
        checkSameChange(at, "based on " + change.basedOn(), acknowledgedOn.put(change.basedOn(), changeId), changeId);
        checkSameChange(at, "acknowledged as version " + version, acknowledgedAs.put(version, changeId), changeId);
        if (version <= knownBefore(change.firstSentAt())) {
            violations.add(
                    at,
                    ControlRule.STALE_READ,
                    changeId + " was first sent at " + change.firstSentAt() + ", when version "
                            + knownBefore(change.firstSentAt()) + " was already known, but became version " + version);
        }
        recordInForce(at, version, changeId);
    }

    private void checkSameChange(final long at, final String what, final String other, final String changeId) {
        if (other != null && !other.equals(changeId)) {
            violations.add(at, ControlRule.ONE_CHANGE_PER_VERSION, other + " and " + changeId + " were both " + what);
        }
    }

    /** Records that a version is in force and known to a caller from now on. */
    private void recordInForce(final long at, final long version, final String changeId) {
        applied.add(changeId);
        final String other = inForce.putIfAbsent(version, changeId);
        if (other != null && !other.equals(changeId)) {
            violations.add(
                    at,
                    ControlRule.ONE_CHANGE_PER_VERSION,
                    "version " + version + " is " + other + " for one caller and " + changeId + " for another");
        }
        if (version > newestKnown()) {
            knownAt.put(at, version);
        }
    }

    /** Records that a change was refused permanently, with a status from 400 to 499. */
    public void refused(final long at, final String changeId, final int status) {
        refusals.add(new Refusal(at, changeId, status));
    }

    /** Checks a read that returned this version. */
    public void read(
            final long startedAt, final long at, final long version, final String changeId, final String document) {
        final long known = knownBefore(startedAt);
        if (version < known) {
            violations.add(
                    at,
                    ControlRule.STALE_READ,
                    "a read that began at " + startedAt + " returned version " + version + ", although " + known
                            + " was known before");
        }
        if (version == 0) {
            return;
        }
        final Change change = sent.get(changeId);
        if (change == null || !change.valid()) {
            violations.add(
                    at,
                    ControlRule.INVALID_IN_FORCE,
                    "version " + version + " reads as " + changeId + ", which is not a valid change");
            return;
        }
        if (!change.document().equals(document)) {
            violations.add(
                    at, ControlRule.READ_BACK, "version " + version + " reads with different bytes than were sent");
        }
        recordInForce(at, version, changeId);
    }

    /** Checks the last read of the run, which returned this version. */
    public void readBack(
            final long startedAt, final long at, final long version, final String changeId, final String document) {
        read(startedAt, at, version, changeId, document);
        final long newest = newestAcknowledged();
        if (version < newest) {
            violations.add(
                    at,
                    ControlRule.READ_BACK,
                    "version " + version + " reads back, although " + newest + " was acknowledged");
        }
    }

    /** Records that the last read of the run failed. */
    public void readBackFailed(final long at, final int status) {
        violations.add(
                at,
                ControlRule.READ_BACK,
                "the configuration reads back as status " + status + ", although version " + newestAcknowledged()
                        + " was acknowledged");
    }

    /** Checks, at the end of the run, that every refusal had a cause. */
    public void settle() {
        for (final Refusal refusal : refusals) {
            final Change change = sent.get(refusal.changeId());
            if (applied.contains(refusal.changeId())) {
                violations.add(
                        refusal.at(),
                        ControlRule.REPEAT_REFUSED,
                        refusal.changeId() + " was refused with " + refusal.status() + ", although it was applied");
            } else if (refusal.status() == CONFLICT && newestKnown() <= change.basedOn()) {
                violations.add(
                        refusal.at(),
                        ControlRule.REFUSED_WITHOUT_CAUSE,
                        refusal.changeId() + ", based on " + change.basedOn()
                                + ", was refused as stale, although the newest version ever in force is "
                                + newestKnown());
            } else if (refusal.status() != CONFLICT && change.valid()) {
                violations.add(
                        refusal.at(),
                        ControlRule.REFUSED_WITHOUT_CAUSE,
                        refusal.changeId() + " is valid and was refused with " + refusal.status());
            }
        }
    }

    private long knownBefore(final long time) {
        final Map.Entry<Long, Long> known = knownAt.lowerEntry(time);
        return known == null ? 0 : known.getValue();
    }

    /** The newest version that any caller has seen in force. */
    public long newestKnown() {
        return knownAt.isEmpty() ? 0 : knownAt.lastEntry().getValue();
    }

    /** The newest version that was acknowledged. */
    public long newestAcknowledged() {
        return acknowledgedAs.isEmpty() ? 0 : acknowledgedAs.lastKey();
    }
}
