package brookpath.testing.model;

import brookpath.coordination.group.Member;
import brookpath.coordination.group.Membership;
import java.util.ArrayList;
import java.util.List;

/** The membership that one step leads to. */
final class MembershipSteps {
    private MembershipSteps() {}

    static Membership next(final Membership present, final Choice choice) {
        final Member member = ModelWorld.groupMember(choice.detail());
        final int version = present.version() + 1;
        return switch (choice.kind()) {
            case ADD_LEARNER -> new Membership(version, present.voters(), with(present.learners(), member));
            case PROMOTE ->
                new Membership(version, with(present.voters(), member), without(present.learners(), member.node()));
            case REMOVE -> new Membership(version, without(present.voters(), member.node()), present.learners());
            default -> throw new IllegalArgumentException(choice.toString());
        };
    }

    private static List<Member> with(final List<Member> list, final Member member) {
        final List<Member> more = new ArrayList<>(list);
        more.add(member);
        return List.copyOf(more);
    }

    private static List<Member> without(final List<Member> list, final int node) {
        return list.stream().filter(m -> m.node() != node).toList();
    }
}
