package brookpath.testing.model;

import brookpath.state.record.LogRecord;
import java.lang.reflect.Array;
import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A digest of everything that a world's future depends on: all fields of the production machines, the disks, the
 * messages in flight, the time, and what the checks remember. Not seen: the state of a machine's random generator.
 *
 * <p>No symmetry is used: the node number breaks ties in elections, so members are never interchangeable.
 */
final class StateHash {
    private static final long FACTOR = 0x9E3779B97F4A7C15L;
    private static final String OWN_CODE = "brookpath.";

    private static final ClassValue<List<Field>> FIELDS = new ClassValue<>() {
        @Override
        protected List<Field> computeValue(final Class<?> type) {
            final List<Field> fields = new ArrayList<>();
            for (final Field field : type.getDeclaredFields()) {
                if (!Modifier.isStatic(field.getModifiers())
                        && !field.isSynthetic()
                        && !field.isAnnotationPresent(NotHashed.class)) {
                    field.setAccessible(true);
                    fields.add(field);
                }
            }
            return fields;
        }
    };

    private static final long SEED = 17;

    /** The digests of the objects of our own code that were met: many are reached on several ways. */
    private final Map<Object, Long> known;

    private long digest = SEED;

    private StateHash(final Map<Object, Long> known) {
        this.known = known;
    }

    static long of(final ModelWorld world) {
        final StateHash hash = new StateHash(new IdentityHashMap<>());
        hash.add(world);
        return hash.digest;
    }

    private void mix(final long part) {
        digest = (digest ^ part) * FACTOR;
        digest ^= digest >>> 29;
    }

    private void add(final Object value) {
        if (value == null) {
            mix(1);
        } else if (value instanceof Number number) {
            mix(number.longValue());
        } else if (value instanceof Boolean flag) {
            mix(flag ? 3 : 2);
        } else if (value instanceof String text) {
            mix(text.hashCode());
        } else if (value instanceof Enum<?> constant) {
            mix(constant.name().hashCode());
        } else if (value instanceof LogRecord logRecord) {
            mix(logRecord.index());
            mix(logRecord.madeSum());
        } else {
            addContainer(value);
        }
    }

    private void addContainer(final Object value) {
        if (value.getClass().isArray()) {
            final int length = Array.getLength(value);
            mix(length);
            for (int i = 0; i < length; i++) {
                add(Array.get(value, i));
            }
        } else if (value instanceof Map<?, ?> map) {
            addUnordered(map.entrySet());
        } else if (value instanceof Map.Entry<?, ?> entry) {
            add(entry.getKey());
            add(entry.getValue());
        } else if (value instanceof Set<?> set) {
            addUnordered(set);
        } else if (value instanceof Iterable<?> list) {
            list.forEach(this::add);
            mix(4);
        } else {
            addObject(value);
        }
    }

    private void addObject(final Object value) {
        Long own = known.get(value);
        if (own == null) {
            final StateHash hash = new StateHash(known);
            hash.addFields(value);
            own = hash.digest;
            known.put(value, own);
        }
        mix(own);
    }

    private void addUnordered(final Set<?> set) {
        long sum = set.size();
        for (final Object element : set) {
            final StateHash own = new StateHash(known);
            own.add(element);
            sum += own.digest;
        }
        mix(sum);
    }

    private void addFields(final Object value) {
        final Class<?> type = value.getClass();
        if (!type.getName().startsWith(OWN_CODE) || type.isHidden()) {
            return;
        }
        try {
            for (final Field field : FIELDS.get(type)) {
                add(field.get(value));
            }
        } catch (final IllegalAccessException e) {
            throw new IllegalStateException(e);
        }
    }
}
