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
 * Sessions between the processes of a cluster, over TCP, with length-prefixed frames. The first frame in each direction
 * is a {@link Hello}, which identifies its sender: a process that dials sends nothing else until it knows that it
 * reached the intended node, and the frames after a hello are attributed to that incarnation of that node. Thread-safe;
 * only {@link #listen} blocks.
 */
public final class Wire implements AutoCloseable {
    /** Receives messages and session events of peers. Called on Netty's threads, in order for each node. */
    public interface Inbox {
        /** A message from a node whose identity is known. */
        void frame(int from, PeerMessage message);

        /** A session with the node ended, or its process was replaced by a newer incarnation. */
        void connectionLost(int node);

        /** This process dialled the node and the session with it has begun. */
        void sessionUp(int node);
    }

    /** A session with more unsent bytes than this accepts no further frames; the last frame may exceed the limit. */
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
    /** TCP retransmits a lost SYN only after a second, so another connection attempt is faster. */
    private static final int CONNECT_TIMEOUT_MS = 400;

    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final int SHUTDOWN_TIMEOUT_MS = 200;

    private final ProcessIdentity self;
    private final Inbox inbox;
    private final long redialMs;
    private final long deadPeerTimeoutMs;
    /** When the first message since the last one received from a node was sent to it, in monotonic milliseconds. */
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
     * @param self the identity of this process, which is sent to peers
     * @param redialMs the base of the random delay before a node is dialled again, in milliseconds
     * @param deadPeerTimeoutMs the sessions with a node from which nothing was received for this long although
     *     something was sent are closed, since the node may have lost power
     * @param threads the number of event loop threads
     */
    public Wire(
            final ProcessIdentity self,
            final Inbox inbox,
            final long redialMs,
            final long deadPeerTimeoutMs,
            final int threads) {
        NettyStart.prepare();
        this.self = self;
        this.deadPeerTimeoutMs = deadPeerTimeoutMs;
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

    /** The event loops of the sessions, which other servers of this process may share. */
    public EventLoopGroup loops() {
        return loops;
    }

    /** The number of sessions closed because of a frame that could not be decoded. */
    public long malformedFrames() {
        return malformed.sum();
    }

    /** The number of sessions closed because the peer was not the dialled node, or had the number of this one. */
    public long wrongNodes() {
        return wrongNodes.sum();
    }

    /** Bytes sent since the start, by node number; a live view. */
    public Map<Integer, LongAdder> bytesOut() {
        return bytesOut;
    }

    /** Bytes received since the start, by node number; a live view. */
    public Map<Integer, LongAdder> bytesIn() {
        return bytesIn;
    }

    /** Closes the sessions with a node; the side that dialled dials again. */
    public void closeSessions(final int node) {
        final Peer peer = peers.get(node);
        if (peer != null) {
            peer.close();
        }
    }

    /** Dials the node, and dials it again whenever the session ends. */
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
            // The random delay keeps a node that comes back from being dialled by all peers at the same moment.
            final long delay = redialMs / 8 + ThreadLocalRandom.current().nextLong(redialMs / 2);
            loops.schedule(() -> connect(node, address), delay, TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Sends a message without blocking; false if it was certainly not sent, because there is no session or because it
     * is congested or dead.
     */
    public boolean send(final int node, final PeerMessage message) {
        final Peer peer = peers.get(node);
        final Channel channel = peer == null ? null : peer.channel();
        if (channel == null || !channel.isActive() || isCongested(channel)) {
            return false;
        }
        if (isDead(node)) {
            // Decided by node rather than by session: two nodes may have two sessions, each of which may carry the
            // messages of one direction only.
            unansweredSinceMs.remove(node);
            closeSessions(node);
            return false;
        }
        final byte[] frame = codecs.get().encode(message);
        // The length is written into the same buffer, since a separate handler for it would cause two writes instead of
        // one.
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

    /** Whether the node has not answered for too long; starts its timer if nothing sent to it is unanswered yet. */
    private boolean isDead(final int node) {
        final long nowMs = System.nanoTime() / NANOS_PER_MILLI;
        final Long sinceMs = unansweredSinceMs.putIfAbsent(node, nowMs);
        return sinceMs != null && nowMs - sinceMs > deadPeerTimeoutMs;
    }

    /** @param expectedNode the node that this process dials; {@link SessionHandler#ANY_NODE} if the peer dials */
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

    // ---- from the session handlers

    ProcessIdentity self() {
        return self;
    }

    Inbox inbox() {
        return inbox;
    }

    /** Whether this is still the address to dial the node at. */
    boolean isCurrentAddress(final int node, final String address) {
        return address.equals(addresses.get(node));
    }

    Peer peer(final int node) {
        return peers.computeIfAbsent(node, k -> new Peer());
    }

    /** Records that something was received from the node. */
    void resetDeadPeerTimer(final int node) {
        unansweredSinceMs.remove(node);
    }

    void countReceived(final int node, final int frameLength) {
        bytesIn.computeIfAbsent(node, k -> new LongAdder()).add(LENGTH_BYTES + frameLength);
    }

    void countMalformedFrame() {
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
