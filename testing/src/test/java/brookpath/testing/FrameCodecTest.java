package brookpath.testing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import brookpath.coordination.message.FetchStatus;
import brookpath.coordination.message.ListenerCountStatus;
import brookpath.coordination.message.PeerMessage;
import brookpath.coordination.message.PublishOutcome;
import brookpath.protocol.frame.FrameCodec;
import brookpath.state.record.LogRecord;
import java.lang.reflect.RecordComponent;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import org.testng.annotations.Test;

/** Every message decodes to an equal one, and malformed frames only throw. */
public final class FrameCodecTest {
    private final FrameCodec codec = new FrameCodec();

    @Test
    public void everyMessageDecodesToAnEqualOne() throws Exception {
        int n = 0;
        for (int seed = 0; seed < 200; seed++) {
            final SplittableRandom random = new SplittableRandom(seed);
            for (final Class<?> type : messageTypes()) {
                final PeerMessage message = (PeerMessage) randomRecord(type, random);
                final byte[] frame = codec.encode(message);
                assertEquals(text(codec.decode(frame, 0, frame.length)), text(message));
                n++;
            }
        }
        assertEquals(n, 200 * 17);
    }

    @Test
    public void outcomesKeepTheirWireCodesAndUnknownCodesAskForARetry() {
        assertEquals(
                Arrays.stream(PublishOutcome.values()).map(PublishOutcome::code).toList(), List.of(0, 1, 2, 3, 4));
        assertEquals(Arrays.stream(FetchStatus.values()).map(FetchStatus::code).toList(), List.of(0, 1, 2));
        assertEquals(
                Arrays.stream(ListenerCountStatus.values())
                        .map(ListenerCountStatus::code)
                        .toList(),
                List.of(0, 1));
        for (final int unknown : new int[] {-1, 5, 255}) {
            assertEquals(PublishOutcome.ofCode(unknown), PublishOutcome.BUSY);
            assertEquals(FetchStatus.ofCode(unknown), FetchStatus.NOT_HERE);
            assertEquals(ListenerCountStatus.ofCode(unknown), ListenerCountStatus.NOT_HERE);
        }
    }

    @Test
    public void malformedFramesOnlyThrow() throws Exception {
        int thrown = 0;
        for (int seed = 0; seed < 500; seed++) {
            final SplittableRandom random = new SplittableRandom(seed);
            for (final Class<?> type : messageTypes()) {
                byte[] frame = codec.encode((PeerMessage) randomRecord(type, random));
                for (int flips = 1 + random.nextInt(4); flips > 0; flips--) {
                    frame[random.nextInt(frame.length)] ^= (byte) (1 + random.nextInt(255));
                }
                if (random.nextBoolean()) {
                    frame = Arrays.copyOf(frame, random.nextInt(frame.length));
                }
                try {
                    codec.decode(frame, 0, frame.length);
                } catch (final RuntimeException ex) {
                    thrown++;
                }
            }
        }
        assertTrue(thrown > 2_000, "only " + thrown + " malformed frames were rejected");
    }

    private static List<Class<?>> messageTypes() {
        return messageTypes(PeerMessage.class)
                .sorted((a, b) -> a.getName().compareTo(b.getName()))
                .toList();
    }

    /** Returns the permitted records of a sealed interface, including those of its subinterfaces. */
    private static Stream<Class<?>> messageTypes(final Class<?> type) {
        return Arrays.stream(type.getPermittedSubclasses())
                .flatMap(kind -> kind.isInterface() ? messageTypes(kind) : Stream.of(kind));
    }

    private static Object randomRecord(final Class<?> type, final SplittableRandom random) throws Exception {
        final RecordComponent[] components = type.getRecordComponents();
        final Object[] args = new Object[components.length];
        final Class<?>[] types = new Class<?>[components.length];
        for (int i = 0; i < components.length; i++) {
            types[i] = components[i].getType();
            args[i] = randomValue(components[i], random);
        }
        return type.getDeclaredConstructor(types).newInstance(args);
    }

    private static Object randomValue(final RecordComponent component, final SplittableRandom random) throws Exception {
        final Class<?> type = component.getType();
        if (type == int.class) {
            return List.of("role", "sync", "kind", "standing").contains(component.getName())
                    ? random.nextInt(4)
                    : random.nextInt();
        } else if (type.isEnum()) {
            return type.getEnumConstants()[random.nextInt(type.getEnumConstants().length)];
        } else if (type == long.class) {
            return random.nextLong();
        } else if (type == boolean.class) {
            return random.nextBoolean();
        } else if (type == String.class) {
            return randomWord(random);
        } else if (type == byte[].class) {
            final byte[] v = new byte[random.nextInt(40)];
            random.nextBytes(v);
            return v;
        }
        final List<Object> list = new ArrayList<>();
        final String typeName = component.getGenericType().getTypeName();
        for (int n = random.nextInt(5); n > 0; n--) {
            if (typeName.contains("LogRecord>")) {
                list.add(LogRecord.of(
                        random.nextLong(),
                        random.nextLong(),
                        random.nextLong(),
                        LogRecord.PUBLISH,
                        LogRecord.publishBody(
                                random.nextLong(),
                                2,
                                randomWord(random),
                                randomWord(random),
                                randomWord(random),
                                randomWord(random)),
                        0));
            } else if (typeName.contains("String>")) {
                list.add(randomWord(random));
            } else {
                list.add(randomRecord(
                        Class.forName(typeName.substring(typeName.indexOf('<') + 1, typeName.indexOf('>'))), random));
            }
        }
        return list;
    }

    private static String randomWord(final SplittableRandom random) {
        final StringBuilder sb = new StringBuilder();
        for (int n = random.nextInt(12); n > 0; n--) {
            sb.appendCodePoint(random.nextInt(5) == 0 ? 0x400 + random.nextInt(200) : 'a' + random.nextInt(26));
        }
        return sb.toString();
    }

    /** A text to compare values by: arrays and flyweights do not define equality. */
    static String text(final Object v) throws Exception {
        if (v instanceof byte[] b) {
            return Arrays.toString(b);
        } else if (v instanceof LogRecord r) {
            return Arrays.toString(r.bytes());
        } else if (v instanceof List<?> l) {
            final StringBuilder sb = new StringBuilder("[");
            for (final Object o : l) {
                sb.append(text(o)).append(';');
            }
            return sb + "]";
        } else if (v instanceof Record) {
            final StringBuilder sb = new StringBuilder(v.getClass().getSimpleName()).append('(');
            for (final RecordComponent component : v.getClass().getRecordComponents()) {
                sb.append(text(component.getAccessor().invoke(v))).append(',');
            }
            return sb + ")";
        }
        return String.valueOf(v);
    }
}
