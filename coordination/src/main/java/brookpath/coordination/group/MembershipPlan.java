package brookpath.coordination.group;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Decides the next single step of a group's membership: dead voters are replaced by synced learners, the group grows to
 * its target size, and voters are spread over zones. A pure function; docs/design/control-membership.md has the
 * reasons.
 */
public final class MembershipPlan {
    /** A group with fewer voters tolerates no loss, so no voter is removed below this number without a replacement. */
    private static final int MIN_VOTERS = 3;

    private static final int WEIGHT = 50;

    /**
     * A process that could be a member, as the leader sees it.
     *
     * @param quietMs for how long nothing has been heard from it
     * @param synced whether it answers, and its replica holds everything that is committed
     * @param steady whether it has answered for a long time without interruption
     */
    public record Candidate(int node, String zone, long quietMs, boolean synced, boolean steady) {}

    /**
     * The targets and time limits of the plan.
     *
     * @param voters the target number of voters
     * @param replaceAfterMs a voter that is silent for longer is replaced
     * @param forgetAfterMs a learner that is silent for longer is removed
     */
    public record Limits(int voters, long replaceAfterMs, long forgetAfterMs) {
        /** The number of voters that tolerates this many losses, at least three. */
        public static int votersFor(final int toleratedLosses) {
            return Math.max(MIN_VOTERS, 2 * toleratedLosses + 1);
        }
    }

    private final Membership present;
    private final int self;
    private final Limits limits;
    private final List<Candidate> candidates;
    private final Map<Integer, Candidate> byNode;

    private MembershipPlan(
            final Membership present, final int self, final Limits limits, final List<Candidate> candidates) {
        this.present = present;
        this.self = self;
        this.limits = limits;
        this.candidates = candidates;
        byNode = candidates.stream().collect(Collectors.toMap(Candidate::node, Function.identity()));
    }

    /**
     * The next membership, or null where no change is needed.
     *
     * @param self this node, the leader, which is never removed
     * @param candidates all members, and all other nodes that are heard
     */
    public static Membership next(
            final Membership present, final int self, final Limits limits, final List<Candidate> candidates) {
        return new MembershipPlan(present, self, limits, candidates).next();
    }

    private Membership next() {
        if (present.voters().size() > limits.voters()) {
            return present.withoutVoter(surplusVoter());
        }
        final Member replacement = bestLearner();
        if (replacement != null && (present.voters().size() < limits.voters() || quietVoter() != null)) {
            return present.promoted(replacement);
        }
        if (quietVoter() != null && isEven() && present.voters().size() > MIN_VOTERS) {
            // besides an odd number of other voters a dead one only raises the majority
            return present.withoutVoter(quietVoter().node());
        }
        final Membership learners = changedLearners();
        return learners != null ? learners : spread();
    }

    private boolean isEven() {
        return present.voters().size() % 2 == 0;
    }

    private Candidate of(final Member member) {
        return byNode.getOrDefault(member.node(), new Candidate(member.node(), member.zone(), 0, false, false));
    }

    private List<Candidate> voters() {
        return present.voters().stream().map(this::of).toList();
    }

    private List<Candidate> learners() {
        return present.learners().stream().map(this::of).toList();
    }

    /** The voter that has been silent longest, null where none has been for longer than {@code replaceAfterMs}. */
    private Candidate quietVoter() {
        return voters().stream()
                .filter(c -> c.node() != self && c.quietMs() > limits.replaceAfterMs())
                .max(Comparator.comparingLong(Candidate::quietMs))
                .orElse(null);
    }

    /**
     * The voter to remove from a group with too many: a dead one, else the newest that shares its zone with another,
     * else the newest.
     */
    private int surplusVoter() {
        if (quietVoter() != null) {
            return quietVoter().node();
        }
        final List<Candidate> others =
                voters().stream().filter(c -> c.node() != self).toList();
        final List<Candidate> sharing =
                others.stream().filter(c -> voters(c.zone()) > 1).toList();
        final List<Candidate> from = sharing.isEmpty() ? others : sharing;
        return from.get(from.size() - 1).node();
    }

    private long voters(final String zone) {
        return voters().stream().filter(c -> c.zone().equals(zone)).count();
    }

    /** The learner to promote: one that is synced, in the zone with the fewest live voters; null for none. */
    private Member bestLearner() {
        final Map<String, Long> living = voters().stream()
                .filter(c -> c.quietMs() <= limits.replaceAfterMs())
                .collect(Collectors.groupingBy(Candidate::zone, Collectors.counting()));
        return learners().stream()
                .filter(Candidate::synced)
                .min(Comparator.<Candidate>comparingLong(c -> living.getOrDefault(c.zone(), 0L))
                        .thenComparingInt(Candidate::node))
                .map(MembershipPlan::member)
                .orElse(null);
    }

    private static Member member(final Candidate candidate) {
        return new Member(candidate.node(), WEIGHT, candidate.zone());
    }

    /**
     * Adds all nodes that are heard as learners, and removes learners that have been silent for longer than
     * {@code forgetAfterMs}; null where nothing changes.
     */
    private Membership changedLearners() {
        final List<Member> learners = new ArrayList<>();
        for (final Member learner : present.learners()) {
            if (of(learner).quietMs() <= limits.forgetAfterMs()) {
                learners.add(learner);
            }
        }
        for (final Candidate candidate : candidates) {
            if (!present.holds(candidate.node()) && candidate.quietMs() <= limits.replaceAfterMs()) {
                learners.add(member(candidate));
            }
        }
        return learners.equals(present.learners())
                ? null
                : new Membership(present.version() + 1, present.voters(), List.copyOf(learners));
    }

    /**
     * Where all voters are steady and two share a zone, promotes a learner of another zone; one of the two is removed
     * in the next step.
     */
    private Membership spread() {
        final Set<String> zones = new HashSet<>();
        voters().forEach(c -> zones.add(c.zone()));
        if (zones.size() == present.voters().size() || !voters().stream().allMatch(Candidate::steady)) {
            return null;
        }
        return learners().stream()
                .filter(c -> c.synced() && c.steady() && !zones.contains(c.zone()))
                .findFirst()
                .map(c -> present.promoted(member(c)))
                .orElse(null);
    }
}
