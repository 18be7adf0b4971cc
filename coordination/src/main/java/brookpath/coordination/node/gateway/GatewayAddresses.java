package brookpath.coordination.node.gateway;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.action.Actions;
import brookpath.coordination.message.ControlRequestKind;
import brookpath.state.record.PackedBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;

/** The public addresses of the other gateways, to which callers are redirected, as the control plane sends them. */
public final class GatewayAddresses {
    private final int self;
    private final String zone;
    private final LongSupplier ids;
    private final TimingBounds timing;
    private final Actions out;
    private List<String> addresses = List.of();
    private boolean pending;
    /** The ID of the pending request for the addresses. */
    private long pendingId;

    private long pendingUntil;

    private long requestedAt = Long.MIN_VALUE / 2;

    /** @param ids gives request IDs, and numbers that spread the callers over the gateways in rotation */
    public GatewayAddresses(
            final int self, final String zone, final LongSupplier ids, final TimingBounds timing, final Actions out) {
        this.self = self;
        this.zone = zone;
        this.ids = ids;
        this.timing = timing;
        this.out = out;
    }

    /**
     * Requests the addresses from the control leader; those already known are used until its reply.
     *
     * @param controlLeader the node number of the control leader
     * @param now in monotonic milliseconds
     */
    public void request(final int controlLeader, final long now) {
        pendingId = ids.getAsLong();
        pending = true;
        requestedAt = now;
        pendingUntil = now + timing.detectionTime();
        out.send(controlLeader, ControlRequestKind.GATEWAYS.request(pendingId, new byte[0]));
    }

    /** Requests the addresses, unless they were requested within the last recovery bound. */
    public void requestIfStale(final int controlLeader, final long now) {
        if (now - requestedAt > timing.recoverMs()) {
            request(controlLeader, now);
        }
    }

    /** Whether callers can be moved: no request is pending, or its deadline has passed. */
    public boolean isReady(final long now) {
        return !pending || now >= pendingUntil;
    }

    /** Whether this is the ID of the pending request. */
    public boolean isPending(final long requestId) {
        return pending && requestId == pendingId;
    }

    /** Handles a failed request: no addresses are known. */
    public void requestFailed() {
        addresses = List.of();
        pending = false;
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
        pending = false;
    }

    /** The address for the next redirected caller, in rotation; empty where none is known. */
    public String next() {
        if (addresses.isEmpty()) {
            return "";
        }
        return addresses.get((int) Math.floorMod(ids.getAsLong(), (long) addresses.size()));
    }
}
