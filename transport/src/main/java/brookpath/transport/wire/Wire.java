package brookpath.transport.wire;

import brookpath.coordination.message.PeerMessage;
import brookpath.protocol.frame.FrameCodec;
import brookpath.transport.identity.ProcessIdentity;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import jdk.net.ExtendedSocketOptions;

/**
 * Sessions between the processes of a fleet, over TCP: frames with a length field. The first frame each way is a
 * {@link Hello}, which identifies its sender: a dialler sends nothing else before it knows that it reached the node
 * that it meant, and whatever follows a hello counts as from that incarnation of that node alone. Thread-safe; nothing
 * here blocks but {@link #listen}.
 */
public final class Wire implements AutoCloseable {
    /** Receives what arrives from peers. Called on Netty's threads, in order for each node. */
    public interface Inbox {
        /** A message from a node whose identity is known. */
        void frame(int from, PeerMessage message);

        /** A session with the node ended, or its process was replaced by a newer incarnation. */
        void connectionLost(int node);

        /** There is a session with the node that was not there before. */
        void sessionUp(int node);
    }

    /** A session with this many bytes unsent accepts no more; one large frame may still exceed it. */
    private static final int HIGH_WATER_MARK_BYTES = 4 << 20;
    /** A machine without power sends nothing, not even a reset; probes find that out where nothing is sent. */
    private static final ChannelOption<Integer> KEEP_ALIVE_IDLE_S =
            NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE);

    private static final ChannelOption<Integer> KEEP_ALIVE_INTERVAL_S =
            NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL);
    private static final ChannelOption<Integer> KEEP_ALIVE_PROBES =
            NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT);
    private static final int MAX_KEEP_ALIVE_PROBES = 3;
    private static final int LENGTH_BYTES = Integer.BYTES;
    /** TCP repeats a lost SYN after a second; another attempt to connect is sooner. */
    private static final int CONNECT_TIMEOUT_MS = 400;

    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final int SHUTDOWN_TIMEOUT_MS = 200;

    private final ProcessIdentity self;
    private final Inbox inbox;
    private final long redialMs;
    private final long deadPeerMs;
    /** When something was first sent to a node since something last came from it, in monotonic milliseconds. */
    private final Map<Integer, Long> unansweredSinceMs = new ConcurrentHashMap<>();

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
     * @param self the identity that is sent to peers
     * @param redialMs about how long after a session ended another is tried
     * @param deadPeerMs the sessions with a node from which nothing came for so long though something was sent are
     *     ended: it may have lost power
     * @param threads how many threads carry the traffic
     */
    public Wire(
            final ProcessIdentity self,
            final Inbox inbox,
            final long redialMs,
            final long deadPeerMs,
            final int threads) {
        NettyStart.prepare();
        this.self = self;
        this.deadPeerMs = deadPeerMs;
        loops = new MultiThreadIoEventLoopGroup(threads, NioIoHandler.newFactory());
        this.inbox = inbox;
        this.redialMs = redialMs;
    }

    /** Accepts sessions from now on; blocks until the socket is bound and returns its port. */
    public int listen(final String host, final int port) throws InterruptedException {
        server = new ServerBootstrap()
                .group(loops)
                .channelFactory(NioServerSocketChannel::new)
                .childOption(ChannelOption.ALLOCATOR, HeapBufferAllocator.INSTANCE)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.SO_KEEPALIVE, true)
                .childOption(KEEP_ALIVE_IDLE_S, 1)
                .childOption(KEEP_ALIVE_INTERVAL_S, 1)
                .childOption(KEEP_ALIVE_PROBES, MAX_KEEP_ALIVE_PROBES)
                .childHandler(pipeline(SessionHandler.ANY_NODE, ""))
                .bind(host, port)
                .sync()
                .channel();
        return ((InetSocketAddress) server.localAddress()).getPort();
    }

    /** The event loops that carry the traffic, to be shared by other servers of this process. */
    public EventLoopGroup loops() {
        return loops;
    }

    /** How many sessions were closed because of a frame that could not be decoded. */
    public long malformed() {
        return malformed.sum();
    }

    /** How many sessions were closed because another node answered than the one that was dialled. */
    public long wrongNodes() {
        return wrongNodes.sum();
    }

    /** Bytes sent since the start by node number; a live view. */
    public Map<Integer, LongAdder> bytesOut() {
        return bytesOut;
    }

    /** Bytes received since the start by node number; a live view. */
    public Map<Integer, LongAdder> bytesIn() {
        return bytesIn;
    }

    /** Ends the sessions with a node; whoever dialled dials again. */
    public void closeSessions(final int node) {
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
                .channelFactory(NioSocketChannel::new)
                .option(ChannelOption.ALLOCATOR, HeapBufferAllocator.INSTANCE)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.SO_KEEPALIVE, true)
                .option(KEEP_ALIVE_IDLE_S, 1)
                .option(KEEP_ALIVE_INTERVAL_S, 1)
                .option(KEEP_ALIVE_PROBES, MAX_KEEP_ALIVE_PROBES)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .handler(pipeline(node, address))
                .connect(address.substring(0, sep), Integer.parseInt(address.substring(sep + 1)))
                .addListener((ChannelFuture f) -> {
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

    /**
     * Sends a message without blocking; false where it was certainly not sent: no session, or one that is congested or
     * dead.
     */
    public boolean send(final int node, final PeerMessage message) {
        final Peer peer = peers.get(node);
        final Channel channel = peer == null ? null : peer.channel();
        if (channel == null || !channel.isActive() || isCongested(channel)) {
            return false;
        }
        if (isDead(node)) {
            // why: by node, not by session: of the two sessions that two nodes may have, one may carry all traffic of
            // one direction
            unansweredSinceMs.remove(node);
            closeSessions(node);
            return false;
        }
        final byte[] frame = codecs.get().encode(message);
        // why: the length goes into the same buffer rather than through a handler of its own, which would make two
        // writes
        // of one
        final ByteBuf buffer = channel.alloc()
                .buffer(LENGTH_BYTES + frame.length)
                .writeInt(frame.length)
                .writeBytes(frame);
        bytesOut.computeIfAbsent(node, k -> new LongAdder()).add(LENGTH_BYTES + frame.length);
        channel.writeAndFlush(buffer, channel.voidPromise());
        return true;
    }

    private static boolean isCongested(final Channel channel) {
        final ChannelOutboundBuffer unsent = channel.unsafe().outboundBuffer();
        return unsent != null && unsent.totalPendingWriteBytes() > HIGH_WATER_MARK_BYTES;
    }

    /** Whether nothing came from a node for too long, though something was sent; notes that something is sent now. */
    private boolean isDead(final int node) {
        final long nowMs = System.nanoTime() / NANOS_PER_MILLI;
        final Long sinceMs = unansweredSinceMs.putIfAbsent(node, nowMs);
        return sinceMs != null && nowMs - sinceMs > deadPeerMs;
    }

    /** @param expectedNode whom this process dials, {@link SessionHandler#ANY_NODE} where the other side does */
    private ChannelInitializer<SocketChannel> pipeline(final int expectedNode, final String address) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(final SocketChannel ch) {
                ch.pipeline()
                        .addLast(
                                new LengthFieldBasedFrameDecoder(
                                        FrameCodec.MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES),
                                new SessionHandler(Wire.this, expectedNode, address));
            }
        };
    }

    // ---- from the sessions

    ProcessIdentity self() {
        return self;
    }

    Inbox inbox() {
        return inbox;
    }

    /** Whether this is still where the node is to be reached. */
    boolean isCurrent(final int node, final String address) {
        return address.equals(addresses.get(node));
    }

    Peer peer(final int node) {
        return peers.computeIfAbsent(node, k -> new Peer());
    }

    /** Something came from the node. */
    void heard(final int node) {
        unansweredSinceMs.remove(node);
    }

    void countReceived(final int node, final int frameLength) {
        bytesIn.computeIfAbsent(node, k -> new LongAdder()).add(LENGTH_BYTES + frameLength);
    }

    void countMalformed() {
        malformed.increment();
    }

    void countWrongNode() {
        wrongNodes.increment();
    }

    @Override
    public void close() {
        closed = true;
        if (server != null) {
            server.close();
        }
        peers.values().forEach(Peer::close);
        loops.shutdownGracefully(0, SHUTDOWN_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }
}
