package brookpath.trial;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import brookpath.coordination.message.Msg;
import brookpath.protocol.frame.FrameCodec;
import brookpath.state.record.Rec;
import java.lang.reflect.RecordComponent;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.testng.annotations.Test;

/** Every message there and back, and what malformed frames do. */
public final class FrameCodecTest {
    private final FrameCodec codec = new FrameCodec();

    @Test
    public void everyMessageComesBackEqual() throws Exception {
        int n = 0;
        for (int seed = 0; seed < 200; seed++) {
            final SplittableRandom rnd = new SplittableRandom(seed);
            for (final Class<?> type : messages()) {
                final Msg msg = (Msg) make(type, rnd);
                final byte[] frame = codec.encode(msg);
                assertEquals(text(codec.decode(frame, 0, frame.length)), text(msg));
                n++;
            }
        }
        assertEquals(n, 200 * 17);
    }

    @Test
    public void malformedFramesThrowAndDoNothingElse() throws Exception {
        int thrown = 0;
        for (int seed = 0; seed < 500; seed++) {
            final SplittableRandom rnd = new SplittableRandom(seed);
            for (final Class<?> type : messages()) {
                byte[] frame = codec.encode((Msg) make(type, rnd));
                for (int flips = 1 + rnd.nextInt(4); flips > 0; flips--) {
                    frame[rnd.nextInt(frame.length)] ^= (byte) (1 + rnd.nextInt(255));
                }
                if (rnd.nextBoolean()) {
                    frame = Arrays.copyOf(frame, rnd.nextInt(frame.length));
                }
                try {
                    codec.decode(frame, 0, frame.length);
                } catch (final RuntimeException ex) {
                    thrown++;
                }
            }
        }
        assertTrue(thrown > 2_000, "only " + thrown + " malformed frames were refused");
    }

    private static List<Class<?>> messages() {
        return Arrays.stream(Msg.class.getPermittedSubclasses())
                .sorted((a, b) -> a.getName().compareTo(b.getName()))
                .toList();
    }

    private static Object make(final Class<?> type, final SplittableRandom rnd) throws Exception {
        final RecordComponent[] comps = type.getRecordComponents();
        final Object[] args = new Object[comps.length];
        final Class<?>[] types = new Class<?>[comps.length];
        for (int i = 0; i < comps.length; i++) {
            types[i] = comps[i].getType();
            args[i] = value(comps[i], rnd);
        }
        return type.getDeclaredConstructor(types).newInstance(args);
    }

    private static Object value(final RecordComponent comp, final SplittableRandom rnd) throws Exception {
        final Class<?> type = comp.getType();
        if (type == int.class) {
            return List.of("role", "sync", "kind", "standing", "outcome").contains(comp.getName())
                            || (comp.getName().equals("status") && comp.getDeclaringRecord() != Msg.OpReply.class)
                    ? rnd.nextInt(4)
                    : rnd.nextInt();
        } else if (type == long.class) {
            return rnd.nextLong();
        } else if (type == boolean.class) {
            return rnd.nextBoolean();
        } else if (type == String.class) {
            return word(rnd);
        } else if (type == byte[].class) {
            final byte[] v = new byte[rnd.nextInt(40)];
            rnd.nextBytes(v);
            return v;
        }
        final List<Object> list = new ArrayList<>();
        final String item = comp.getGenericType().getTypeName();
        for (int n = rnd.nextInt(5); n > 0; n--) {
            if (item.contains("Rec>")) {
                list.add(Rec.of(
                        rnd.nextLong(),
                        rnd.nextLong(),
                        rnd.nextLong(),
                        Rec.PUBLISH,
                        Rec.publishBody(rnd.nextLong(), 2, word(rnd), word(rnd), word(rnd), word(rnd)),
                        0));
            } else if (item.contains("String>")) {
                list.add(word(rnd));
            } else {
                list.add(make(Class.forName(item.substring(item.indexOf('<') + 1, item.indexOf('>'))), rnd));
            }
        }
        return list;
    }

    private static String word(final SplittableRandom rnd) {
        final StringBuilder sb = new StringBuilder();
        for (int n = rnd.nextInt(12); n > 0; n--) {
            sb.appendCodePoint(rnd.nextInt(5) == 0 ? 0x400 + rnd.nextInt(200) : 'a' + rnd.nextInt(26));
        }
        return sb.toString();
    }

    /** Records hold arrays and flyweights, which have no equality of their own. */
    private static String text(final Object v) throws Exception {
        if (v instanceof byte[] b) {
            return Arrays.toString(b);
        } else if (v instanceof Rec r) {
            return Arrays.toString(r.bytes());
        } else if (v instanceof List<?> l) {
            final StringBuilder sb = new StringBuilder("[");
            for (final Object o : l) {
                sb.append(text(o)).append(';');
            }
            return sb + "]";
        } else if (v instanceof Record) {
            final StringBuilder sb = new StringBuilder(v.getClass().getSimpleName()).append('(');
            for (final RecordComponent comp : v.getClass().getRecordComponents()) {
                sb.append(text(comp.getAccessor().invoke(v))).append(',');
            }
            return sb + ")";
        }
        return String.valueOf(v);
    }
}
