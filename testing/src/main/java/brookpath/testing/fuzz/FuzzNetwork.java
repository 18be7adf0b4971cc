package brookpath.testing.fuzz;

import brookpath.coordination.message.PeerMessage;

/** Links between the members: messages are lost, delayed and reordered, and links are partitioned. */
final class FuzzNetwork {
    private static final int MAX_USUAL_DELAY_MS = 3;
    private static final int ONE_LONG_DELAY_IN = 20;
    private static final long MAX_PARTITION_MS = 3_000;

    private final FuzzContext context;
    /** The node that receives nothing and most of whose messages are lost; 0 for none. */
    private int isolated;
    /** A bit for each of the two members that cannot reach each other; 0 for none. */
    private int separatedPair;

    FuzzNetwork(final FuzzContext context) {
        this.context = context;
    }

    void send(final int from, final int to, final PeerMessage message) {
        if (loses(from, to)) {
            return;
        }
        final long delayMs = context.random.nextInt(ONE_LONG_DELAY_IN) == 0
                ? context.random.nextLong(context.style.maxDelayMs() + 1)
                : context.random.nextInt(MAX_USUAL_DELAY_MS);
        context.after(delayMs, () -> context.members.get(to).receive(from, message));
    }

    private boolean loses(final int from, final int to) {
        return context.random.nextInt(1000) < context.style.dropPerThousand()
                || (from == isolated && context.random.nextInt(3) > 0)
                || to == isolated
                || separatedPair == pair(from, to);
    }

    void isolate(final int node) {
        isolated = node;
        context.after(context.random.nextLong(MAX_PARTITION_MS), () -> isolated = 0);
    }

    /** Separates two members from each other, while a third one reaches both. */
    void separate(final int node, final int other) {
        separatedPair = pair(node, other);
        context.after(context.random.nextLong(MAX_PARTITION_MS), () -> separatedPair = 0);
    }

    private static int pair(final int node, final int other) {
        return (1 << node) | (1 << other);
    }
}
