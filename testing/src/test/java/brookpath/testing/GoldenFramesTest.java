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

/** Compares the bytes of frames with a golden file, so that this release and the last understand each other. */
public final class GoldenFramesTest {
    private final GoldenFile golden = new GoldenFile(GoldenFramesTest.class, "golden-frames.txt");
    private final Map<String, PeerMessage> examples = FrameExamples.all();

    @DataProvider
    public Object[][] names() {
        return examples.keySet().stream().map(name -> new Object[] {name}).toArray(Object[][]::new);
    }

    @Test(dataProvider = "names")
    public void eachMessageEncodesToItsGoldenBytes(final String name) {
        golden.assertHolds(name, HexFormat.of().formatHex(new FrameCodec().encode(examples.get(name))));
    }

    @Test(dataProvider = "names")
    public void theGoldenBytesDecodeToTheMessage(final String name) throws Exception {
        final byte[] frame = HexFormat.of().parseHex(golden.expected().get(name));
        assertEquals(
                FrameCodecTest.text(new FrameCodec().decode(frame, 0, frame.length)),
                FrameCodecTest.text(examples.get(name)));
    }

    @Test
    public void everyMessageTypeHasAnExample() {
        assertEquals(
                examples.values().stream().map(Object::getClass).collect(Collectors.toSet()),
                messageTypes(PeerMessage.class));
    }

    @Test
    public void theGoldenFileHoldsExactlyTheExamples() {
        assertEquals(golden.expected().keySet(), examples.keySet());
    }

    /** Returns the permitted implementations of a sealed interface, including those of its subinterfaces. */
    private static Set<Class<?>> messageTypes(final Class<?> type) {
        return Arrays.stream(type.getPermittedSubclasses())
                .flatMap(kind -> kind.isInterface() ? messageTypes(kind).stream() : Stream.of(kind))
                .collect(Collectors.toSet());
    }

    @AfterClass
    public void write() throws IOException {
        golden.write();
    }
}
