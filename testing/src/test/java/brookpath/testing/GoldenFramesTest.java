package brookpath.testing;

import static org.testng.Assert.assertEquals;

import brookpath.coordination.message.PeerMessage;
import brookpath.protocol.frame.FrameCodec;
import java.io.IOException;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.testng.annotations.AfterClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Processes of the last release understand the frames of this one, and the other way round: their bytes are pinned. */
public final class GoldenFramesTest {
    private final GoldenFile golden = new GoldenFile(GoldenFramesTest.class, "golden-frames.txt");
    private final Map<String, PeerMessage> examples = FrameExamples.all();

    @DataProvider
    public Object[][] names() {
        return examples.keySet().stream().map(name -> new Object[] {name}).toArray(Object[][]::new);
    }

    @Test(dataProvider = "names")
    public void theFrameHasItsBytes(final String name) {
        golden.assertHolds(name, HexFormat.of().formatHex(new FrameCodec().encode(examples.get(name))));
    }

    @Test(dataProvider = "names")
    public void theBytesReadBackAsTheMessage(final String name) throws Exception {
        final byte[] frame = HexFormat.of().parseHex(golden.expected().get(name));
        assertEquals(
                FrameCodecTest.text(new FrameCodec().decode(frame, 0, frame.length)),
                FrameCodecTest.text(examples.get(name)));
    }

    @Test
    public void everyKindOfMessageHasAnExample() {
        assertEquals(
                examples.values().stream().map(Object::getClass).collect(Collectors.toSet()), kinds(PeerMessage.class));
    }

    @Test
    public void theFileHoldsTheseFramesAndNoOthers() {
        assertEquals(golden.expected().keySet(), examples.keySet());
    }

    /** The permitted implementations of a sealed interface, also of those that extend it. */
    private static Set<Class<?>> kinds(final Class<?> type) {
        return Arrays.stream(type.getPermittedSubclasses())
                .flatMap(kind -> kind.isInterface() ? kinds(kind).stream() : Stream.of(kind))
                .collect(Collectors.toSet());
    }

    @AfterClass
    public void write() throws IOException {
        golden.write();
    }
}
