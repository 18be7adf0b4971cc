package brookpath.testing.relay;

import static java.util.concurrent.TimeUnit.MICROSECONDS;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.IntPredicate;
import java.util.function.LongBinaryOperator;

/**
 * A TCP proxy between real processes, and between callers and gateways, that delays traffic, loses packets, blocks one
 * direction of a link and resets connections. A lost packet appears as it does to users of TCP: all that follows on the
 * connection waits for the retransmission. A node that connects to a peer sends its number in the first frame; callers
 * are node 0.
 */
public final class Relay implements AutoCloseable {
    private static final long RETRANSMIT_US = 200_000;
    private static final String HOST = "127.0.0.1";

    private final MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final LongBinaryOperator delayUs;
    private final Set<Long> cuts = ConcurrentHashMap.newKeySet();
    private final Set<RelayedConnection> connections = ConcurrentHashMap.newKeySet();
    private final LongAdder resets = new LongAdder();
    private final LongAdder lost = new LongAdder();
    private final Map<Long, LongAdder> bytes = new ConcurrentHashMap<>();
    private volatile int lossPerMille;

    /** @param delayUs the one-way delay in microseconds, given the numbers of the sending and the receiving node */
    public Relay(final LongBinaryOperator delayUs) {
        this.delayUs = delayUs;
    }

    private static long link(final int from, final int to) {
        return (long) from << 32 | to;
    }

    /**
     * Opens a port that forwards to the port of the process, and returns it.
     *
     * @param peers whether peers connect to the port, whose first frame identifies them
     */
    public int open(final int node, final int port, final boolean peers) throws InterruptedException {
        final Channel server = new ServerBootstrap()
                .group(loops)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.AUTO_READ, false)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(final SocketChannel ch) {
                        new RelayedConnection(ch, node, port, peers).start();
                    }
                })
                .bind(HOST, 0)
                .sync()
                .channel();
        return ((InetSocketAddress) server.localAddress()).getPort();
    }

    /** Holds back all traffic from one node to another until {@link #heal}. */
    public void cut(final int from, final int to) {
        cuts.add(link(from, to));
    }

    /** Ends all cuts and packet loss, and forwards the traffic that was held back. */
    public void heal() {
        cuts.clear();
        lossPerMille = 0;
        connections.forEach(RelayedConnection::resume);
    }

    /** Sets the rate at which packets are lost. */
    public void loss(final int perMille) {
        lossPerMille = perMille;
    }

    /** Resets connections to the nodes, except a random one in {@code sparedOneIn}. */
    public void reset(final IntPredicate nodes, final int sparedOneIn) {
        for (final RelayedConnection connection : connections) {
            if (nodes.test(connection.to) && ThreadLocalRandom.current().nextInt(sparedOneIn) != 0) {
                resets.increment();
                connection.closeBoth();
            }
        }
    }

    /** The number of connections that were reset. */
    public long resets() {
        return resets.sum();
    }

    /** The number of packets that were lost. */
    public long lost() {
        return lost.sum();
    }

    /** The number of bytes received so far from one node for another. */
    public long bytes(final int from, final int to) {
        final LongAdder count = bytes.get(link(from, to));
        return count == null ? 0 : count.sum();
    }

    /** One relayed connection, with both directions. */
    private final class RelayedConnection {
        final Channel accepted;
        final int to;
        final int port;
        volatile int from;
        volatile Channel dialled;

        RelayedConnection(final Channel accepted, final int to, final int port, final boolean peers) {
            this.accepted = accepted;
            this.to = to;
            this.port = port;
            from = peers ? -1 : 0;
        }

        void start() {
            connections.add(this);
            accepted.pipeline().addLast(new Direction(this, true));
            accepted.closeFuture().addListener(f -> closeBoth());
            // Both channels share an event loop, so that a single thread keeps the order of the bytes.
            new Bootstrap()
                    .group(accepted.eventLoop())
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.AUTO_READ, false)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .handler(new Direction(this, false))
                    .connect(HOST, port)
                    .addListener(f -> {
                        if (!f.isSuccess()) {
                            closeBoth();
                            return;
                        }
                        dialled = ((io.netty.channel.ChannelFuture) f).channel();
                        dialled.closeFuture().addListener(c -> closeBoth());
                        accepted.read();
                        dialled.read();
                    });
        }

        void closeBoth() {
            connections.remove(this);
            accepted.close();
            if (dialled != null) {
                dialled.close();
            }
        }

        void resume() {
            accepted.eventLoop().execute(() -> {
                accepted.pipeline().get(Direction.class).flushHeld();
                if (dialled != null) {
                    dialled.pipeline().get(Direction.class).flushHeld();
                }
            });
        }
    }

    /** One direction of a connection. */
    private final class Direction extends ChannelInboundHandlerAdapter {
        private final RelayedConnection connection;
        private final boolean forward;
        private final ArrayDeque<ByteBuf> held = new ArrayDeque<>();
        private long lastDeliveryAtUs;

        Direction(final RelayedConnection connection, final boolean forward) {
            this.connection = connection;
            this.forward = forward;
        }

        private int source() {
            return forward ? connection.from : connection.to;
        }

        private int target() {
            return forward ? connection.to : connection.from;
        }

        @Override
        public void channelRead(final ChannelHandlerContext ctx, final Object message) {
            final ByteBuf buf = (ByteBuf) message;
            if (forward && connection.from < 0 && buf.readableBytes() >= 8) {
                connection.from = buf.getInt(buf.readerIndex() + 4);
            }
            bytes.computeIfAbsent(link(source(), target()), k -> new LongAdder())
                    .add(buf.readableBytes());
            held.add(buf);
            flushHeld();
        }

        @Override
        public void channelReadComplete(final ChannelHandlerContext ctx) {
            // While the link is cut nothing more is read, so that the sender is blocked as by a full TCP window.
            if (held.isEmpty()) {
                ctx.read();
            }
        }

        void flushHeld() {
            while (!held.isEmpty() && !cuts.contains(link(source(), target()))) {
                final ByteBuf buf = held.poll();
                final long nowUs = System.nanoTime() / 1_000;
                long deliverAtUs = nowUs + Math.max(0, delayUs.applyAsLong(source(), target()));
                if (ThreadLocalRandom.current().nextInt(1_000) < lossPerMille) {
                    lost.increment();
                    deliverAtUs += RETRANSMIT_US;
                }
                // bytes of one direction stay in order
                lastDeliveryAtUs = Math.max(lastDeliveryAtUs, deliverAtUs);
                connection
                        .accepted
                        .eventLoop()
                        .schedule(
                                () -> {
                                    final Channel destination = forward ? connection.dialled : connection.accepted;
                                    if (destination != null && destination.isActive()) {
                                        destination.writeAndFlush(buf);
                                    } else {
                                        buf.release();
                                    }
                                },
                                lastDeliveryAtUs - nowUs,
                                MICROSECONDS);
                if (held.isEmpty()) {
                    final Channel origin = forward ? connection.accepted : connection.dialled;
                    if (origin != null) {
                        origin.read();
                    }
                }
            }
        }

        @Override
        public void channelInactive(final ChannelHandlerContext ctx) {
            connection.closeBoth();
        }

        @Override
        public void exceptionCaught(final ChannelHandlerContext ctx, final Throwable cause) {
            // propagate a reset on one channel to the other
            connection.closeBoth();
        }
    }

    @Override
    public void close() {
        connections.forEach(RelayedConnection::closeBoth);
        loops.shutdownGracefully(0, 200, java.util.concurrent.TimeUnit.MILLISECONDS);
    }
}
