package brookpath.coordination.node.gateway;

import brookpath.state.record.PackedBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;

/** Where callers reach the other gateways, as the control plane tells a gateway that drains. */
public final class GatewayAddresses {
    private final int self;
    private final String zone;
    private final LongSupplier ids;
    private List<String> addresses = List.of();
    private boolean awaited;
    /** The request that asked for the addresses. */
    private long request;

    private long awaitedUntil;

    /** @param ids by which callers are spread over the gateways */
    public GatewayAddresses(final int self, final String zone, final LongSupplier ids) {
        this.self = self;
        this.zone = zone;
        this.ids = ids;
    }

    /**
     * The control plane is asked, and its reply is waited for.
     *
     * @param requestId by which its reply is known
     * @param until no longer than this, on the monotonic clock in milliseconds
     */
    public void await(final long requestId, final long until) {
        request = requestId;
        addresses = List.of();
        awaited = true;
        awaitedUntil = until;
    }

    /** Whether callers need not wait for the addresses (any longer). */
    public boolean isSettled(final long now) {
        return !awaited || now >= awaitedUntil;
    }

    /** Whether the request is the one whose reply is waited for. */
    public boolean asked(final long requestId) {
        return awaited && requestId == request;
    }

    /** The control plane did not tell the addresses. */
    public void unknown() {
        addresses = List.of();
        awaited = false;
    }

    /** The control plane's reply. The gateways of this node's zone are preferred to all others. */
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

    /** The address for the next caller that is sent on; empty where none is known. */
    public String next() {
        if (addresses.isEmpty()) {
            return "";
        }
        return addresses.get((int) Math.floorMod(ids.getAsLong(), (long) addresses.size()));
    }
}
