package brookpath.transport.wire;

import brookpath.coordination.message.PeerMessage;
import brookpath.protocol.frame.FrameCodec;
import brookpath.transport.identity.ProcessIdentity;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Future;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import jdk.net.ExtendedSocketOptions;

/**
 * Sessions between our own processes: frames with a length field. The first frame each way is a hello, which says who
 * its sender is: a dialler sends nothing else before it knows that it reached the node that it meant, and whatever
 * follows a hello is taken for that life of that node alone.
 */
public final class Wire implements AutoCloseable {
    /** Called on Netty's threads. */
    public interface Inbox {
        void frame(int from, PeerMessage message);

        void sessionLost(int node);

        /** There is a session with the node that was not there before. */
        void sessionUp(int node);
    }

    /** A session with this much unsent takes no more; one large frame may still go on top. */
    private static final int HIGH_WATER = 4 << 20;
    /** A machine without power says nothing; probes, a second apart, find that out where nothing is sent. */
    private static final ChannelOption<Integer> KEEP_IDLE = NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE);

    private static final ChannelOption<Integer> KEEP_EVERY =
            NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL);
    private static final ChannelOption<Integer> KEEP_COUNT = NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT);
    private static final int KEEPS = 3;
    private static final int LENGTH_BYTES = Integer.BYTES;
    /** An opening packet that was lost goes again after a second; another go is sooner. */
    private static final int CONNECT_MS = 400;
    /** Who says nothing of itself for so long is no process of ours, or is frozen; a later go finds out. */
    private static final int HELLO_MS = 3_000;

    private final ProcessIdentity self;
    private final Inbox inbox;
    private final long redialMs;
    private final long deadMs;
    private final Map<Integer, Long> unanswered = new ConcurrentHashMap<>();
    private final MultiThreadIoEventLoopGroup loops;
    private final Map<Integer, String> addresses = new ConcurrentHashMap<>();
    private final Map<Integer, Peer> peers = new ConcurrentHashMap<>();
    private final ThreadLocal<FrameCodec> codecs = ThreadLocal.withInitial(FrameCodec::new);
    private final LongAdder malformed = new LongAdder();
    private final LongAdder wrongNodes = new LongAdder();
    private final Map<Integer, LongAdder> bytesOut = new ConcurrentHashMap<>();
    private final Map<Integer, LongAdder> bytesIn = new ConcurrentHashMap<>();
    private volatile boolean closed;
    private Channel server;

    /**
     * @param redialMs about how long after a session ended another is tried
     * @param deadMs the sessions with a node from which nothing came for so long though something was sent are ended:
     *     it may have lost power
     * @param threads that carry the traffic
     */
    public Wire(
            final ProcessIdentity self, final Inbox inbox, final long redialMs, final long deadMs, final int threads) {
        this.self = self;
        this.deadMs = deadMs;
        loops = new MultiThreadIoEventLoopGroup(threads, NioIoHandler.newFactory());
        this.inbox = inbox;
        this.redialMs = redialMs;
    }

    public int listen(final String host, final int port) throws InterruptedException {
        server = new ServerBootstrap()
                .group(loops)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.SO_KEEPALIVE, true)
                .childOption(KEEP_IDLE, 1)
                .childOption(KEEP_EVERY, 1)
                .childOption(KEEP_COUNT, KEEPS)
                .childHandler(pipeline(0, ""))
                .bind(host, port)
                .sync()
                .channel();
        return ((InetSocketAddress) server.localAddress()).getPort();
    }

    /** The threads that carry the traffic, for whoever else serves here. */
    public EventLoopGroup loops() {
        return loops;
    }

    public long malformed() {
        return malformed.sum();
    }

    /** Sessions that were given up because another node answered than the one that was meant. */
    public long wrongNodes() {
        return wrongNodes.sum();
    }

    /** Bytes sent so far, per peer. */
    public Map<Integer, LongAdder> bytesOut() {
        return bytesOut;
    }

    public Map<Integer, LongAdder> bytesIn() {
        return bytesIn;
    }

    /** Ends the sessions with a node; whoever dialled dials again. */
    public void hangUp(final int node) {
        final Peer peer = peers.get(node);
        if (peer != null) {
            peer.close();
        }
    }

    /** Keeps a session to the node from now on. */
    public void dial(final int node, final String address) {
        if (node != self.node() && !address.isEmpty() && !address.equals(addresses.put(node, address))) {
            final Peer peer = peers.get(node);
            if (peer != null) {
                peer.closeDialled();
            }
            connect(node, address);
        }
    }

    private void connect(final int node, final String address) {
        if (closed || !address.equals(addresses.get(node))) {
            return;
        }
        final int sep = address.lastIndexOf(':');
        new Bootstrap()
                .group(loops)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.SO_KEEPALIVE, true)
                .option(KEEP_IDLE, 1)
                .option(KEEP_EVERY, 1)
                .option(KEEP_COUNT, KEEPS)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
                .handler(pipeline(node, address))
                .connect(address.substring(0, sep), Integer.parseInt(address.substring(sep + 1)))
                .addListener((io.netty.channel.ChannelFuture f) -> {
                    if (f.isSuccess()) {
                        f.channel().closeFuture().addListener(c -> redial(node, address));
                    } else {
                        redial(node, address);
                    }
                });
    }

    private void redial(final int node, final String address) {
        if (!closed && !loops.isShuttingDown()) {
            // why: spread, so that a node that comes back is not met by all at the same instant
            final long delay = redialMs / 8 + ThreadLocalRandom.current().nextLong(redialMs / 2);
            loops.schedule(() -> connect(node, address), delay, TimeUnit.MILLISECONDS);
        }
    }

    /** False where there is certainly no session to send it on. */
    public boolean send(final int node, final PeerMessage message) {
        final Peer peer = peers.get(node);
        final Channel ch = peer == null ? null : peer.channel();
        if (ch == null
                || !ch.isActive()
                || (ch.unsafe().outboundBuffer() != null
                        && ch.unsafe().outboundBuffer().totalPendingWriteBytes() > HIGH_WATER)) {
            return false;
        }
        final long now = System.nanoTime() / 1_000_000;
        final Long since = unanswered.putIfAbsent(node, now);
        if (since != null && now - since > deadMs) {
            // why: by node, not by session: of the two sessions that two nodes may have, one may carry all that goes
            // one way
            unanswered.remove(node);
            hangUp(node);
            return false;
        }
        final byte[] frame = codecs.get().encode(message);
        final ByteBuf buf = ch.alloc().buffer(frame.length).writeBytes(frame);
        bytesOut.computeIfAbsent(node, k -> new LongAdder()).add(LENGTH_BYTES + frame.length);
        ch.writeAndFlush(buf, ch.voidPromise());
        return true;
    }

    private ChannelInitializer<SocketChannel> pipeline(final int meant, final String address) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(final SocketChannel ch) {
                ch.pipeline()
                        .addLast(
                                new LengthFieldBasedFrameDecoder(
                                        FrameCodec.MAX_FRAME, 0, LENGTH_BYTES, 0, LENGTH_BYTES),
                                new LengthFieldPrepender(LENGTH_BYTES),
                                new Receiver(meant, address));
            }
        };
    }

    private final class Receiver extends SimpleChannelInboundHandler<ByteBuf> {
        private final FrameCodec codec = new FrameCodec();
        /** Whom this process dialled, 0 where the other side did. */
        private final int meant;

        private final String address;
        private ProcessIdentity other;
        private Peer peer;
        private Future<?> patience;

        Receiver(final int meant, final String address) {
            this.meant = meant;
            this.address = address;
        }

        @Override
        public void channelActive(final ChannelHandlerContext ctx) {
            patience = ctx.executor().schedule(() -> ctx.close(), HELLO_MS, TimeUnit.MILLISECONDS);
            if (meant != 0) {
                ctx.writeAndFlush(Hello.encode(self, ctx.alloc()), ctx.voidPromise());
            }
        }

        @Override
        protected void channelRead0(final ChannelHandlerContext ctx, final ByteBuf buf) {
            if (other == null) {
                hello(ctx, Hello.decode(buf));
            } else {
                frame(ctx, buf);
            }
        }

        private void hello(final ChannelHandlerContext ctx, final ProcessIdentity told) {
            patience.cancel(false);
            final boolean outdated = meant != 0 && !address.equals(addresses.get(meant));
            if (outdated || told.node() == self.node() || (meant != 0 && told.node() != meant)) {
                if (!outdated) {
                    wrongNodes.increment();
                }
                ctx.close();
                return;
            }
            if (meant == 0) {
                ctx.writeAndFlush(Hello.encode(self, ctx.alloc()), ctx.voidPromise());
            }
            other = told;
            unanswered.remove(told.node());
            peer = peers.computeIfAbsent(told.node(), k -> new Peer());
            peer.begin(told.life(), ctx.channel(), meant != 0, () -> inbox.sessionLost(told.node()));
            if (meant != 0) {
                inbox.sessionUp(told.node());
            }
        }

        private void frame(final ChannelHandlerContext ctx, final ByteBuf buf) {
            unanswered.remove(other.node());
            final byte[] bytes = new byte[buf.readableBytes()];
            buf.readBytes(bytes);
            final PeerMessage message = codec.decode(bytes, 0, bytes.length);
            bytesIn.computeIfAbsent(other.node(), k -> new LongAdder()).add(LENGTH_BYTES + bytes.length);
            if (!peer.handOn(other.life(), () -> inbox.frame(other.node(), message))) {
                ctx.close();
            }
        }

        @Override
        public void channelInactive(final ChannelHandlerContext ctx) {
            if (patience != null) {
                patience.cancel(false);
            }
            if (other != null && peer.end(other.life(), ctx.channel())) {
                inbox.sessionLost(other.node());
            }
        }

        @Override
        public void exceptionCaught(final ChannelHandlerContext ctx, final Throwable cause) {
            // why: a malformed frame ends this session alone; whatever follows it on the stream cannot be trusted
            if (!(cause instanceof java.io.IOException)) {
                malformed.increment();
            }
            ctx.close();
        }
    }

    @Override
    public void close() {
        closed = true;
        if (server != null) {
            server.close();
        }
        peers.values().forEach(Peer::close);
        loops.shutdownGracefully(0, 200, TimeUnit.MILLISECONDS);
    }
}
