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
 * Stands between real processes, and between callers and gateways: delays, loses, cuts in one direction, stalls and
 * resets what passes. A lost packet is felt as TCP lets it be felt: what follows waits for the repeat. Whoever dials a
 * peer says its number in its first frame; callers are node 0.
 */
public final class Relay implements AutoCloseable {
    private static final long REPEAT_US = 200_000;
    private static final String HOST = "127.0.0.1";

    private final MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final LongBinaryOperator delayUs;
    private final Set<Long> cuts = ConcurrentHashMap.newKeySet();
    private final Set<Pipe> pipes = ConcurrentHashMap.newKeySet();
    private final LongAdder resets = new LongAdder();
    private final LongAdder lost = new LongAdder();
    private final Map<Long, LongAdder> bytes = new ConcurrentHashMap<>();
    private volatile int lossPerMille;

    /** @param delayUs one way, by the numbers of both ends */
    public Relay(final LongBinaryOperator delayUs) {
        this.delayUs = delayUs;
    }

    private static long link(final int from, final int to) {
        return (long) from << 32 | to;
    }

    /**
     * A port that leads to the process.
     *
     * @param peers whether frames pass there, which tell who dials
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
                        new Pipe(ch, node, port, peers).begin();
                    }
                })
                .bind(HOST, 0)
                .sync()
                .channel();
        return ((InetSocketAddress) server.localAddress()).getPort();
    }

    /** Holds back what goes from one node to another. */
    public void cut(final int from, final int to) {
        cuts.add(link(from, to));
    }

    /** All cuts end; what was held goes on its way. */
    public void heal() {
        cuts.clear();
        lossPerMille = 0;
        pipes.forEach(Pipe::wake);
    }

    /** Loses packets, so many in a thousand. */
    public void loss(final int perMille) {
        lossPerMille = perMille;
    }

    /** Resets sessions that lead to these nodes, all but one in so many. */
    public void reset(final IntPredicate nodes, final int butOneIn) {
        for (final Pipe p : pipes) {
            if (nodes.test(p.to) && ThreadLocalRandom.current().nextInt(butOneIn) != 0) {
                resets.increment();
                p.end();
            }
        }
    }

    /** How many sessions were reset. */
    public long resets() {
        return resets.sum();
    }

    /** How many packets were lost. */
    public long lost() {
        return lost.sum();
    }

    /** Bytes that have passed from one node to another. */
    public long bytes(final int from, final int to) {
        final LongAdder n = bytes.get(link(from, to));
        return n == null ? 0 : n.sum();
    }

    /** One connection through here, both ways. */
    private final class Pipe {
        final Channel near;
        final int to;
        final int port;
        volatile int from;
        volatile Channel far;

        Pipe(final Channel near, final int to, final int port, final boolean peers) {
            this.near = near;
            this.to = to;
            this.port = port;
            from = peers ? -1 : 0;
        }

        void begin() {
            pipes.add(this);
            near.pipeline().addLast(new Way(this, true));
            near.closeFuture().addListener(f -> end());
            // both ends on one loop, so that one thread sees to the order of what passes
            new Bootstrap()
                    .group(near.eventLoop())
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.AUTO_READ, false)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .handler(new Way(this, false))
                    .connect(HOST, port)
                    .addListener(f -> {
                        if (!f.isSuccess()) {
                            end();
                            return;
                        }
                        far = ((io.netty.channel.ChannelFuture) f).channel();
                        far.closeFuture().addListener(c -> end());
                        near.read();
                        far.read();
                    });
        }

        void end() {
            pipes.remove(this);
            near.close();
            if (far != null) {
                far.close();
            }
        }

        void wake() {
            near.eventLoop().execute(() -> {
                near.pipeline().get(Way.class).flushHeld();
                if (far != null) {
                    far.pipeline().get(Way.class).flushHeld();
                }
            });
        }
    }

    /** One direction of a connection. */
    private final class Way extends ChannelInboundHandlerAdapter {
        private final Pipe pipe;
        private final boolean there;
        private final ArrayDeque<ByteBuf> held = new ArrayDeque<>();
        private long lastAtUs;

        Way(final Pipe pipe, final boolean there) {
            this.pipe = pipe;
            this.there = there;
        }

        private int source() {
            return there ? pipe.from : pipe.to;
        }

        private int target() {
            return there ? pipe.to : pipe.from;
        }

        @Override
        public void channelRead(final ChannelHandlerContext ctx, final Object message) {
            final ByteBuf buf = (ByteBuf) message;
            if (there && pipe.from < 0 && buf.readableBytes() >= 8) {
                pipe.from = buf.getInt(buf.readerIndex() + 4);
            }
            bytes.computeIfAbsent(link(source(), target()), k -> new LongAdder())
                    .add(buf.readableBytes());
            held.add(buf);
            flushHeld();
        }

        @Override
        public void channelReadComplete(final ChannelHandlerContext ctx) {
            // while cut nothing more is read, so that the sender feels it as it would feel a full window
            if (held.isEmpty()) {
                ctx.read();
            }
        }

        void flushHeld() {
            while (!held.isEmpty() && !cuts.contains(link(source(), target()))) {
                final ByteBuf buf = held.poll();
                final long now = System.nanoTime() / 1_000;
                long at = now + Math.max(0, delayUs.applyAsLong(source(), target()));
                if (ThreadLocalRandom.current().nextInt(1_000) < lossPerMille) {
                    lost.increment();
                    at += REPEAT_US;
                }
                // bytes of one connection never overtake each other
                lastAtUs = Math.max(lastAtUs, at);
                pipe.near
                        .eventLoop()
                        .schedule(
                                () -> {
                                    final Channel on = there ? pipe.far : pipe.near;
                                    if (on != null && on.isActive()) {
                                        on.writeAndFlush(buf);
                                    } else {
                                        buf.release();
                                    }
                                },
                                lastAtUs - now,
                                MICROSECONDS);
                if (held.isEmpty()) {
                    final Channel of = there ? pipe.near : pipe.far;
                    if (of != null) {
                        of.read();
                    }
                }
            }
        }

        @Override
        public void channelInactive(final ChannelHandlerContext ctx) {
            pipe.end();
        }

        @Override
        public void exceptionCaught(final ChannelHandlerContext ctx, final Throwable cause) {
            // a reset on one side is a reset on the other
            pipe.end();
        }
    }

    @Override
    public void close() {
        pipes.forEach(Pipe::end);
        loops.shutdownGracefully(0, 200, java.util.concurrent.TimeUnit.MILLISECONDS);
    }
}
