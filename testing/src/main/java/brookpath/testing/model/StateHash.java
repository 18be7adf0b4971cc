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
 * A digest of everything that a world's future depends on: all fields of the production state machines, the disks, the
 * messages in flight, the time, and the state of the invariant checks. Not included: the state of a machine's random
 * number generator.
 *
 * <p>There is no symmetry reduction: the node number breaks ties in elections, so members are not interchangeable.
 */
final class StateHash {
    private static final long FACTOR = 0x9E3779B97F4A7C15L;
    private static final String PROJECT_PACKAGES = "brookpath.";

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

    /** The digests of objects of this project that are already computed: many are referenced from several places. */
    private final Map<Object, Long> digests;

    private long digest = SEED;

    private StateHash(final Map<Object, Long> digests) {
        this.digests = digests;
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
            mix(logRecord.storedChecksum());
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
        Long own = digests.get(value);
        if (own == null) {
            final StateHash hash = new StateHash(digests);
            hash.addFields(value);
            own = hash.digest;
            digests.put(value, own);
        }
        mix(own);
    }

    private void addUnordered(final Set<?> set) {
        long sum = set.size();
        for (final Object element : set) {
            final StateHash own = new StateHash(digests);
            own.add(element);
            sum += own.digest;
        }
        mix(sum);
    }

    private void addFields(final Object value) {
        final Class<?> type = value.getClass();
        if (!type.getName().startsWith(PROJECT_PACKAGES) || type.isHidden()) {
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
