package brookpath.testing.fuzz;

import java.util.Collection;
import java.util.List;

/** Injects random faults of members and links, one after another. */
final class FuzzFaults {
    private static final int KINDS = 7;
    private static final int MAX_SYNC_MS = 400;

    private final FuzzContext context;
    private int crashes;

    FuzzFaults(final FuzzContext context) {
        this.context = context;
    }

    int crashes() {
        return crashes;
    }

    void scheduleNext() {
        final long interval = context.style.faultIntervalMs();
        context.after(interval / 2 + context.random.nextLong(interval), () -> {
            inject(context.anyMember());
            scheduleNext();
        });
    }

    private void inject(final FuzzMember member) {
        switch (context.random.nextInt(KINDS)) {
            case 0, 1 -> losePower(member);
            case 2 -> member.freeze(freezeMs());
            case 3 -> member.syncTakes(context.random.nextInt(MAX_SYNC_MS));
            case 4 -> context.network.isolate(member.id());
            case 5 -> context.network.separate(member.id(), 1 + context.random.nextInt(context.members.size()));
            default -> context.members.values().forEach(FuzzMember::resetSyncTime);
        }
    }

    private long freezeMs() {
        return context.random.nextBoolean() ? context.random.nextLong(2_500) : 350 + context.random.nextLong(400);
    }

    /** In one case of three all members lose power at once, because synced entries must survive even that. */
    private void losePower(final FuzzMember member) {
        final Collection<FuzzMember> affected =
                context.random.nextInt(3) == 0 ? context.members.values() : List.of(member);
        for (final FuzzMember each : affected) {
            if (each.alive()) {
                crashes++;
                each.losePower();
                // A member that restarts quickly has forgotten what it answered, while others still rely on its
                // answers.
                context.after(
                        context.random.nextLong(context.random.nextBoolean() ? 150 : 1_500), () -> each.start(false));
            }
        }
    }
}
