package brookpath.testing.model;

import brookpath.coordination.group.Member;
import brookpath.coordination.group.Membership;
import java.util.ArrayList;
import java.util.List;

/** The membership that results from a membership change. */
final class MembershipSteps {
    private MembershipSteps() {}

    static Membership next(final Membership current, final Choice choice) {
        final Member member = ModelWorld.groupMember(choice.detail());
        final int version = current.version() + 1;
        return switch (choice.kind()) {
            case ADD_LEARNER -> new Membership(version, current.voters(), with(current.learners(), member));
            case PROMOTE ->
                new Membership(version, with(current.voters(), member), without(current.learners(), member.node()));
            case REMOVE -> new Membership(version, without(current.voters(), member.node()), current.learners());
            default -> throw new IllegalArgumentException(choice.toString());
        };
    }

    private static List<Member> with(final List<Member> list, final Member member) {
        final List<Member> extended = new ArrayList<>(list);
        extended.add(member);
        return List.copyOf(extended);
    }

    private static List<Member> without(final List<Member> list, final int node) {
        return list.stream().filter(m -> m.node() != node).toList();
    }
}
