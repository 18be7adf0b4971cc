package brookpath.coordination.node.gateway;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.action.Actions;
import brookpath.coordination.message.ControlRequestKind;
import brookpath.state.record.PackedBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;

/** The addresses of the other gateways for callers, as the control plane sends them to a draining gateway. */
public final class GatewayAddresses {
    private final int self;
    private final String zone;
    private final LongSupplier ids;
    private final TimingBounds timing;
    private final Actions out;
    private List<String> addresses = List.of();
    private boolean awaited;
    /** The ID of the pending request for the addresses. */
    private long request;

    private long awaitedUntil;

    private long askedAt = Long.MIN_VALUE / 2;

    /** @param ids gives request IDs, and the numbers by which callers are spread over the gateways */
    public GatewayAddresses(
            final int self, final String zone, final LongSupplier ids, final TimingBounds timing, final Actions out) {
        this.self = self;
        this.zone = zone;
        this.ids = ids;
        this.timing = timing;
        this.out = out;
    }

    /**
     * Asks the control leader for the addresses; those that are known are used until its reply.
     *
     * @param controlLeader its node number
     * @param now in monotonic milliseconds
     */
    public void ask(final int controlLeader, final long now) {
        request = ids.getAsLong();
        awaited = true;
        askedAt = now;
        awaitedUntil = now + timing.detectionTime();
        out.send(controlLeader, ControlRequestKind.GATEWAYS.request(request, new byte[0]));
    }

    /** The same, unless it was asked within the recovery bound. */
    public void askOnce(final int controlLeader, final long now) {
        if (now - askedAt > timing.recoverMs()) {
            ask(controlLeader, now);
        }
    }

    /** Whether callers need not wait for the addresses: they are known, or the deadline has passed. */
    public boolean isSettled(final long now) {
        return !awaited || now >= awaitedUntil;
    }

    /** Whether this is the ID of the pending request. */
    public boolean asked(final long requestId) {
        return awaited && requestId == request;
    }

    /** Ends the wait: the control plane did not send the addresses. */
    public void unknown() {
        addresses = List.of();
        awaited = false;
    }

    /** Handles the control plane's reply. Gateways in this node's zone are preferred to all others. */
    public void received(final byte[] body) {
        final List<String> near = new ArrayList<>();
        final List<String> all = new ArrayList<>();
        final PackedBuffer in = PackedBuffer.reader(body);
        for (long left = in.getLong(); left > 0; left--) {
            final int node = (int) in.getLong();
            final boolean sameZone = in.getString().equals(zone);
            final String address = in.getString();
            if (node == self || address.isEmpty()) {
                continue;
            }
            all.add(address);
            if (sameZone) {
                near.add(address);
            }
        }
        addresses = near.isEmpty() ? all : near;
        awaited = false;
    }

    /** The address for the next caller that is moved, in rotation; empty where none is known. */
    public String next() {
        if (addresses.isEmpty()) {
            return "";
        }
        return addresses.get((int) Math.floorMod(ids.getAsLong(), (long) addresses.size()));
    }
}
