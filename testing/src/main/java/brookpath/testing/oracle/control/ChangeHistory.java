package brookpath.testing.oracle.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Changes of the configuration and reads of it, as their callers saw them. A change whose acknowledgement was lost on
 * its way counts as acknowledged: whoever lost it knows that it was given.
 */
public final class ChangeHistory {
    /** A whole configuration that is to replace the version that it was made from. */
    public record Change(String changeId, long basedOn, String document, boolean valid, long firstSentAt) {}

    private record Refusal(long at, String changeId, int status) {}

    private static final int CONFLICT = 409;

    private final ControlViolations violations;
    private final Map<String, Change> sent = new HashMap<>();
    private final Map<Long, String> acknowledgedOn = new HashMap<>();
    private final TreeMap<Long, String> acknowledgedAs = new TreeMap<>();
    private final Map<Long, String> inForce = new HashMap<>();
    private final Set<String> taken = new HashSet<>();
    private final List<Refusal> refusals = new ArrayList<>();
    /** The newest version that some caller knew, from each moment at which that grew. */
    private final TreeMap<Long, Long> knownAt = new TreeMap<>();

    /** Adds what it finds to these violations. */
    public ChangeHistory(final ControlViolations violations) {
        this.violations = violations;
    }

    /** A change is about to be sent for the first time. */
    public void sent(final Change change) {
        sent.put(change.changeId(), change);
    }

    /** A change was answered with success. */
    public void acknowledged(final long at, final String changeId, final long version) {
        final Change change = sent.get(changeId);
        if (change == null || !change.valid()) {
            violations.add(at, ControlRule.INVALID_IN_FORCE, changeId + " was acknowledged as version " + version);
            return;
        }
        differs(at, "based on " + change.basedOn(), acknowledgedOn.put(change.basedOn(), changeId), changeId);
        differs(at, "acknowledged as version " + version, acknowledgedAs.put(version, changeId), changeId);
        if (version <= knownBefore(change.firstSentAt())) {
            violations.add(
                    at,
                    ControlRule.STALE_READ,
                    changeId + " was first sent at " + change.firstSentAt() + ", when version "
                            + knownBefore(change.firstSentAt()) + " was known, and became version " + version);
        }
        holds(at, version, changeId);
    }

    private void differs(final long at, final String what, final String other, final String changeId) {
        if (other != null && !other.equals(changeId)) {
            violations.add(at, ControlRule.ONE_CHANGE_PER_VERSION, other + " and " + changeId + " were both " + what);
        }
    }

    /** A version is in force: some caller knows it from now on. */
    private void holds(final long at, final long version, final String changeId) {
        taken.add(changeId);
        final String other = inForce.putIfAbsent(version, changeId);
        if (other != null && !other.equals(changeId)) {
            violations.add(
                    at,
                    ControlRule.ONE_CHANGE_PER_VERSION,
                    "version " + version + " is " + other + " for one and " + changeId + " for another");
        }
        if (version > newestKnown()) {
            knownAt.put(at, version);
        }
    }

    /** A change was refused for good, with a status from 400 to 499. */
    public void refused(final long at, final String changeId, final int status) {
        refusals.add(new Refusal(at, changeId, status));
    }

    /** A read gave this version. */
    public void read(
            final long startedAt, final long at, final long version, final String changeId, final String document) {
        final long known = knownBefore(startedAt);
        if (version < known) {
            violations.add(
                    at,
                    ControlRule.STALE_READ,
                    "a read that began at " + startedAt + " gave version " + version + ", though " + known
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
                    "version " + version + " reads as " + changeId + ", not a valid order");
            return;
        }
        if (!change.document().equals(document)) {
            violations.add(at, ControlRule.READ_BACK, "version " + version + " reads with other bytes than were sent");
        }
        holds(at, version, changeId);
    }

    /** The last read of the day gave this version. */
    public void readBack(
            final long startedAt, final long at, final long version, final String changeId, final String document) {
        read(startedAt, at, version, changeId, document);
        final long newest = newestAcknowledged();
        if (version < newest) {
            violations.add(
                    at, ControlRule.READ_BACK, "version " + version + " reads back, " + newest + " was acknowledged");
        }
    }

    /** The last read of the day gave nothing. */
    public void readBackFailed(final long at, final int status) {
        violations.add(
                at,
                ControlRule.READ_BACK,
                "the configuration reads back as status " + status + ", version " + newestAcknowledged()
                        + " was acknowledged");
    }

    /** At the end of the day: which refusals had no cause. */
    public void settle() {
        for (final Refusal refusal : refusals) {
            final Change change = sent.get(refusal.changeId());
            if (taken.contains(refusal.changeId())) {
                violations.add(
                        refusal.at(),
                        ControlRule.REPEAT_REFUSED,
                        refusal.changeId() + " was refused with " + refusal.status() + ", though it was taken");
            } else if (refusal.status() == CONFLICT && newestKnown() <= change.basedOn()) {
                violations.add(
                        refusal.at(),
                        ControlRule.REFUSED_WITHOUT_CAUSE,
                        refusal.changeId() + ", based on " + change.basedOn()
                                + ", was refused as stale; the newest ever in force is " + newestKnown());
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
