package brookpath.testing;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import brookpath.coordination.configuration.Configuration;
import brookpath.coordination.configuration.Configuration.Space;
import brookpath.coordination.configuration.Configuration.Tenant;
import brookpath.coordination.configuration.ConfigurationReader;
import brookpath.coordination.configuration.PackedConfiguration;
import brookpath.state.record.PackedBuffer;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.testng.annotations.Test;

/** Compares the configuration that processes decode with the one that was encoded. */
public final class PackedConfigurationTest {
    private static final int ROUNDS = 200;

    @Test
    public void decodesToWhatWasEncoded() {
        final Random random = new Random(7);
        for (int round = 0; round < ROUNDS; round++) {
            final Configuration configuration = random(random);
            assertSame(PackedConfiguration.decode(PackedConfiguration.encode(configuration)), configuration);
        }
        assertSame(PackedConfiguration.decode(PackedConfiguration.encode(Configuration.NONE)), Configuration.NONE);
    }

    /**
     * The encoding must not depend on map order, so that a delta from one control leader applies to a version that
     * another has sent.
     */
    @Test
    public void encodingDoesNotDependOnMapOrder() {
        final Random random = new Random(8);
        for (int round = 0; round < ROUNDS; round++) {
            final Configuration one = random(random);
            final Configuration other = new Configuration(
                    one.version(),
                    one.basedOn(),
                    one.changeId(),
                    new HashMap<>(one.spaces()),
                    new HashMap<>(one.tenants()),
                    new HashMap<>(one.keys()),
                    one.topicsPerSession());
            assertEquals(PackedConfiguration.encode(other), PackedConfiguration.encode(one));
        }
    }

    @Test
    public void decodesToTheDocumentAsItWasRead() {
        final String document = "{\"version\":9,\"basedOn\":4,\"changeId\":\"c\",\"spaces\":["
                + "{\"name\":\"a\",\"keepingSeconds\":30,\"order\":\"one\",\"replSize\":-1},"
                + "{\"name\":\"b\",\"prefix\":\"b.\",\"keepingSeconds\":1,\"open\":true,\"answerMs\":1500}],"
                + "\"tenants\":[{\"name\":\"t\",\"spaces\":[\"*\"],\"keys\":[\"a-key-of-t\",\"another-of-t\"]},"
                + "{\"name\":\"u\",\"spaces\":[\"a\",\"b\"],\"keys\":[]}],\"topicsPerSession\":7,"
                + "\"annotation\":\"for its readers\"}";
        final Configuration read = ConfigurationReader.stored(document.getBytes(UTF_8), 9);
        assertEquals(read.spaces().get("a").replSize(), -1);
        assertSame(PackedConfiguration.decode(PackedConfiguration.encode(read)), read);
    }

    @Test
    public void rejectsAnotherFormat() {
        final byte[] other = PackedBuffer.writer().putLong(2).toByteArray();
        final IllegalStateException exception =
                expectThrows(IllegalStateException.class, () -> PackedConfiguration.decode(other));
        assertEquals(exception.getMessage(), "the configuration has format 2, and this program reads format 1");
    }

    private static Configuration random(final Random random) {
        final Map<String, Space> spaces = new LinkedHashMap<>();
        final Map<String, Tenant> tenants = new LinkedHashMap<>();
        final Map<String, String> keys = new LinkedHashMap<>();
        for (int i = random.nextInt(20); i > 0; i--) {
            final String name = "space-" + random.nextInt(1_000);
            spaces.put(
                    name,
                    new Space(
                            name,
                            name + ".",
                            random.nextInt(100_000),
                            random.nextBoolean(),
                            random.nextInt(9) - 1,
                            random.nextBoolean(),
                            random.nextInt(5_000)));
        }
        for (int i = random.nextInt(10); i > 0; i--) {
            final String name = "tenant-" + random.nextInt(1_000);
            tenants.put(
                    name,
                    new Tenant(name, random.nextBoolean() ? Set.of(Configuration.ALL) : Set.copyOf(spaces.keySet())));
            keys.put("key-" + random.nextInt(), name);
        }
        return new Configuration(
                random.nextInt(100), random.nextInt(100), "change-" + random.nextInt(1_000), spaces, tenants, keys, 64);
    }

    private static void assertSame(final Configuration found, final Configuration expected) {
        assertEquals(found.version(), expected.version());
        assertEquals(found.basedOn(), expected.basedOn());
        assertEquals(found.changeId(), expected.changeId());
        assertEquals(found.topicsPerSession(), expected.topicsPerSession());
        assertEquals(found.spaces(), expected.spaces());
        assertEquals(found.tenants(), expected.tenants());
        assertEquals(found.keys(), expected.keys());
        expected.spaces()
                .values()
                .forEach(space ->
                        assertEquals(found.spaceOf(space.prefix() + "x"), expected.spaceOf(space.prefix() + "x")));
    }
}
