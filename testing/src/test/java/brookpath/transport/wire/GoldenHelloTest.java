package brookpath.transport.wire;

import static org.testng.Assert.assertEquals;

import brookpath.transport.identity.ProcessIdentity;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import org.testng.annotations.Test;

/** Checks the bytes of the first frame of a session, which must not change between versions. */
public final class GoldenHelloTest {
    private static final ProcessIdentity IDENTITY =
            new ProcessIdentity(0x01020304, 0x1112131415161718L, 0x2122232425262728L);
    private static final String LENGTH = "00000018";
    private static final String FRAME = "01020304" + "62726b31" + "1112131415161718" + "2122232425262728";

    @Test
    public void encodesTheGoldenBytes() {
        final ByteBuf frame = Hello.encode(IDENTITY, UnpooledByteBufAllocator.DEFAULT);
        assertEquals(ByteBufUtil.hexDump(frame), LENGTH + FRAME);
    }

    @Test
    public void decodesTheGoldenBytes() {
        assertEquals(Hello.decode(Unpooled.wrappedBuffer(ByteBufUtil.decodeHexDump(FRAME))), IDENTITY);
    }
}
