package brookpath.transport.wire;

import brookpath.coordination.message.PeerMessage;
import brookpath.protocol.frame.FrameCodec;
import brookpath.transport.identity.ProcessIdentity;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.io.IOException;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/** The handler of one session: the hello in each direction, then frames. Runs on the session's event loop thread. */
final class SessionHandler extends SimpleChannelInboundHandler<ByteBuf> {
    /** The expected node of a session that the peer dialled, since any node may do so. */
    static final int ANY_NODE = 0;

    /**
     * A peer that sends no hello within this time is not a process of this cluster or is frozen; dialling is retried.
     */
    private static final int HELLO_TIMEOUT_MS = 3_000;

    private final Wire wire;
    private final FrameCodec codec = new FrameCodec();
    private final int expectedNode;
    private final String address;
    /** The identity of the peer; null until its hello arrives. */
    private ProcessIdentity remote;

    private Peer peer;
    private Future<?> helloTimeout;

    /**
     * @param expectedNode the node that this process dialled, or {@link #ANY_NODE}
     * @param address the address that it dialled
     */
    SessionHandler(final Wire wire, final int expectedNode, final String address) {
        this.wire = wire;
        this.expectedNode = expectedNode;
        this.address = address;
    }

    private boolean dialledByUs() {
        return expectedNode != ANY_NODE;
    }

    @Override
    public void channelActive(final ChannelHandlerContext ctx) {
        helloTimeout = ctx.executor().schedule(() -> ctx.close(), HELLO_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        if (dialledByUs()) {
            sendHello(ctx);
        }
    }

    private void sendHello(final ChannelHandlerContext ctx) {
        ctx.writeAndFlush(Hello.encode(wire.self(), ctx.alloc()), ctx.voidPromise());
    }

    @Override
    protected void channelRead0(final ChannelHandlerContext ctx, final ByteBuf buffer) {
        if (remote == null) {
            receiveHello(ctx, Hello.decode(buffer));
        } else {
            receiveFrame(ctx, buffer);
        }
    }

    private void receiveHello(final ChannelHandlerContext ctx, final ProcessIdentity sender) {
        helloTimeout.cancel(false);
        if (dialledByUs() && !wire.isCurrentAddress(expectedNode, address)) {
            ctx.close();
            return;
        }
        if (sender.node() == wire.self().node() || (dialledByUs() && sender.node() != expectedNode)) {
            wire.countWrongNode();
            ctx.close();
            return;
        }
        if (!dialledByUs()) {
            sendHello(ctx);
        }
        remote = sender;
        wire.resetDeadPeerTimer(sender.node());
        peer = wire.peer(sender.node());
        peer.begin(
                sender.incarnation(),
                ctx.channel(),
                dialledByUs(),
                () -> wire.inbox().connectionLost(sender.node()));
        if (dialledByUs()) {
            wire.inbox().sessionUp(sender.node());
        }
    }

    private void receiveFrame(final ChannelHandlerContext ctx, final ByteBuf buffer) {
        wire.resetDeadPeerTimer(remote.node());
        final byte[] frame = new byte[buffer.readableBytes()];
        buffer.readBytes(frame);
        final PeerMessage message = codec.decode(frame, 0, frame.length);
        wire.countReceived(remote.node(), frame.length);
        if (!peer.deliver(remote.incarnation(), () -> wire.inbox().frame(remote.node(), message))) {
            ctx.close();
        }
    }

    @Override
    public void channelInactive(final ChannelHandlerContext ctx) {
        if (helloTimeout != null) {
            helloTimeout.cancel(false);
        }
        if (remote != null && peer.end(remote.incarnation(), ctx.channel())) {
            wire.inbox().connectionLost(remote.node());
        }
    }

    @Override
    public void exceptionCaught(final ChannelHandlerContext ctx, final Throwable cause) {
        // A malformed frame ends only this session, since whatever follows it in the byte stream cannot be trusted.
        if (!(cause instanceof IOException)) {
            wire.countMalformedFrame();
        }
        ctx.close();
    }
}
