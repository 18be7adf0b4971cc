package brookpath.coordination.node.gateway;

import brookpath.state.record.PackedBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;

/** The addresses of the other gateways for callers, as the control plane sends them to a draining gateway. */
public final class GatewayAddresses {
    private final int self;
    private final String zone;
    private final LongSupplier ids;
    private List<String> addresses = List.of();
    private boolean awaited;
    /** The ID of the pending request for the addresses. */
    private long request;

    private long awaitedUntil;

    /** @param ids gives the numbers by which callers are spread over the gateways */
    public GatewayAddresses(final int self, final String zone, final LongSupplier ids) {
        this.self = self;
        this.zone = zone;
        this.ids = ids;
    }

    /**
     * Records that the control plane was asked for the addresses, and that its reply is pending.
     *
     * @param requestId the ID of the request, by which its reply is recognized
     * @param until the deadline of the reply, in monotonic milliseconds
     */
    public void await(final long requestId, final long until) {
        request = requestId;
        addresses = List.of();
        awaited = true;
        awaitedUntil = until;
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
