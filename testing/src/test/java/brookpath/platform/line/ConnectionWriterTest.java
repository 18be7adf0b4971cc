package brookpath.platform.line;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import brookpath.state.record.LogRecord;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.local.LocalAddress;
import io.netty.channel.local.LocalChannel;
import io.netty.channel.local.LocalIoHandler;
import io.netty.channel.local.LocalServerChannel;
import io.netty.util.ReferenceCountUtil;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.testng.annotations.Test;

/** The order of what is written to a client's connection from several threads. */
public final class ConnectionWriterTest {
    private static final String OK_DETACH = "OK DETACH s/a\r\n";

    /** Collects what a client receives until it has seen the response. */
    private static final class Received extends ChannelInboundHandlerAdapter {
        final StringBuilder text = new StringBuilder();
        final CompletableFuture<String> complete = new CompletableFuture<>();
        private final int expectedLength;

        Received(final int expectedLength) {
            this.expectedLength = expectedLength;
        }

        @Override
        public void channelRead(final ChannelHandlerContext context, final Object message) {
            text.append(((ByteBuf) message).toString(US_ASCII));
            ReferenceCountUtil.release(message);
            if (text.length() >= expectedLength) {
                complete.complete(text.toString());
            }
        }
    }

    private static LogRecord logRecord() {
        return LogRecord.of(7, 1, 0, LogRecord.PUBLISH, LogRecord.publishBody(1, 2, "t", "s/a", "ana", "hello"), 0);
    }

    private static int deliveryLength(final Channel channel) {
        final ByteBuf delivery = ServerMessages.delivery(logRecord(), channel.alloc());
        final int length = delivery.readableBytes();
        delivery.release();
        return length;
    }

    private static Channel connect(final EventLoopGroup loops, final CompletableFuture<Channel> accepted)
            throws Exception {
        final LocalAddress address = new LocalAddress(ConnectionWriterTest.class);
        new ServerBootstrap()
                .group(loops)
                .channel(LocalServerChannel.class)
                .childHandler(new ChannelInitializer<LocalChannel>() {
                    @Override
                    protected void initChannel(final LocalChannel channel) {
                        accepted.complete(channel);
                    }
                })
                .bind(address)
                .sync();
        return new Bootstrap()
                .group(loops)
                .channel(LocalChannel.class)
                .handler(new ChannelInboundHandlerAdapter())
                .connect(address)
                .sync()
                .channel();
    }

    /** Guards against the OK to a DETACH ahead of a message that was delivered before it (review/6). */
    @Test
    public void aResponseOnTheEventLoopDoesNotOvertakeADeliveryOfAnotherThread() throws Exception {
        final EventLoopGroup loops = new MultiThreadIoEventLoopGroup(2, LocalIoHandler.newFactory());
        try {
            final CompletableFuture<Channel> accepted = new CompletableFuture<>();
            final Channel client = connect(loops, accepted);
            final Channel channel = accepted.get();
            final Received received = new Received(deliveryLength(channel) + OK_DETACH.length());
            client.pipeline().addLast(received);
            final ConnectionWriter writer = new ConnectionWriter(channel);
            final CountDownLatch delivered = new CountDownLatch(1);
            final CountDownLatch occupied = new CountDownLatch(1);
            channel.eventLoop().execute(() -> {
                // As the connection's handler, which finds the response complete after the state thread has delivered
                occupied.countDown();
                awaitUninterruptibly(delivered);
                writer.write(OK_DETACH);
            });
            occupied.await();
            assertTrue(writer.deliver(logRecord()));
            delivered.countDown();
            final String text = received.complete.get();
            assertTrue(text.startsWith("MESSAGE s/a "), text);
            assertEquals(text.substring(text.length() - OK_DETACH.length()), OK_DETACH);
        } finally {
            loops.shutdownGracefully();
        }
    }

    private static void awaitUninterruptibly(final CountDownLatch latch) {
        try {
            latch.await();
        } catch (final InterruptedException ex) {
            throw new IllegalStateException(ex);
        }
    }

    /** The host may continue to deliver once what was delivered before is with the connection, and not sooner. */
    @Test
    public void flushedIsReportedAfterWhatWasWrittenBefore() throws Exception {
        final EventLoopGroup loops = new MultiThreadIoEventLoopGroup(2, LocalIoHandler.newFactory());
        try {
            final CompletableFuture<Channel> accepted = new CompletableFuture<>();
            final Channel client = connect(loops, accepted);
            final Channel channel = accepted.get();
            final Received received = new Received(deliveryLength(channel));
            client.pipeline().addLast(received);
            final ConnectionWriter writer = new ConnectionWriter(channel);
            final CompletableFuture<Boolean> writtenBefore = new CompletableFuture<>();
            assertTrue(writer.deliver(logRecord()));
            writer.whenFlushed(() ->
                    writtenBefore.complete(channel.unsafe().outboundBuffer().totalPendingWriteBytes() == 0));
            assertTrue(writtenBefore.get(), "reported while bytes were pending");
            assertTrue(received.complete.get().startsWith("MESSAGE s/a "));
        } finally {
            loops.shutdownGracefully();
        }
    }
}
