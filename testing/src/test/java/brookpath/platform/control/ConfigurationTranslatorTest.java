package brookpath.platform.control;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import brookpath.coordination.configuration.Configuration;
import brookpath.coordination.configuration.ConfigurationReader;
import brookpath.coordination.configuration.PackedConfiguration;
import org.testng.annotations.Test;

/** How the product validates the platform's configurations after their translation. */
public final class ConfigurationTranslatorTest {
    private static final String ROUTE =
            "{\"Name\":\"r-1\",\"Hostname\":\"\",\"PathPrefix\":\"kafi810.\",\"RouteKind\":\"retained\",\"TimeoutMs\":1500,"
                    + "\"TargetLatencyMs\":120,\"Priority\":1,\"RetentionS\":34.5,\"OrderedDelivery\":\"topic\",\"Public\":false}";
    private static final String OTHER =
            ROUTE.replace("r-1", "r-2").replace("kafi810.", "kalo181.").replace("\"Public\":false", "\"Public\":true");
    private static final String TENANT =
            "{\"Name\":\"nofi360\",\"AccessKeys\":[\"wrr6x73d3zji9n73hh2b\",\"9wu3fexd9dnn2ctnfzs9\"],\"Priority\":1}";
    private static final String VALID = "{\"Revision\":7,\"Routes\":[" + ROUTE + "," + OTHER
            + "],\"Services\":[],\"Limits\":{\"MaximumBodyBytes\":262144," + "\"Subscriptions\":200},\"Tenants\":["
            + TENANT + "]}";

    private static ConfigurationReader.Reading validated(
            final String configuration, final long basedOn, final Configuration present)
            throws UnreadableConfigurationException {
        return ConfigurationReader.read(
                ConfigurationTranslator.toChange(configuration.getBytes(UTF_8), basedOn),
                present.version() + 1,
                new ConfigurationReader.Limits(3, 2),
                present);
    }

    @Test
    public void validConfigurationIsAcceptedAndReadBackUnchanged() throws UnreadableConfigurationException {
        final ConfigurationReader.Reading reading = validated(VALID, 0, Configuration.NONE);
        assertTrue(reading.findings().isEmpty(), reading.findings().toString());
        final Configuration configuration = reading.configuration();
        assertEquals(configuration.version(), 7);
        assertEquals(configuration.topicsPerSession(), 200);
        assertEquals(configuration.spaceOf("kafi810.2f").retentionMs(), 35_000);
        assertEquals(configuration.spaceOf("kafi810.2f").answerMs(), 1_500);
        assertTrue(configuration.spaceOf("kalo181.x").open()
                && !configuration.spaceOf("kafi810.x").open());
        assertTrue(configuration.tenantOf("9wu3fexd9dnn2ctnfzs9").hasAccessTo("r-2"));
        final String readBack = "{\"version\":7,\"document\":"
                + new String(ConfigurationTranslator.toChange(VALID.getBytes(UTF_8), 0), UTF_8) + "}";
        assertEquals(new String(ConfigurationTranslator.toConfiguration(readBack), UTF_8), VALID);
        final byte[] encoded = PackedConfiguration.encode(configuration);
        assertFalse(new String(encoded, UTF_8).contains("TargetLatencyMs"));
        assertEquals(PackedConfiguration.decode(encoded).spaceOf("kafi810.2f").retentionMs(), 35_000);
    }

    @Test
    public void invalidConfigurationIsRejected() throws UnreadableConfigurationException {
        final Configuration present = validated(VALID, 0, Configuration.NONE).configuration();
        final String next = VALID.replace("\"Revision\":7", "\"Revision\":9");
        assertTrue(validated(next, 7, present).findings().isEmpty());
        for (final String invalid : new String[] {
            VALID,
            VALID.replace("\"Revision\":7", "\"Revision\":5"),
            next.replace("kalo181.", "kafi810."),
            next.replace("\"TimeoutMs\":1500", "\"TimeoutMs\":0"),
            next.replace(TENANT, TENANT + "," + TENANT.replace("nofi360", "fino331"))
        }) {
            assertFalse(validated(invalid, 7, present).findings().isEmpty(), invalid);
        }
        for (int length = 0; length < VALID.length(); length += 7) {
            final String truncated = VALID.substring(0, length);
            assertThrows(
                    UnreadableConfigurationException.class,
                    () -> ConfigurationTranslator.toChange(truncated.getBytes(UTF_8), 0));
        }
        assertThrows(
                UnreadableConfigurationException.class,
                () -> ConfigurationTranslator.toChange(
                        VALID.replace("\"Public\":false", "\"Service\":\"none\"")
                                .getBytes(UTF_8),
                        0));
        assertThrows(
                UnreadableConfigurationException.class,
                () -> ConfigurationTranslator.toChange(
                        VALID.replace("\"Revision\":7", "\"Revision\":7.5").getBytes(UTF_8), 0));
    }

    @Test
    public void changeIdDependsOnContentAndBaseVersion() throws UnreadableConfigurationException {
        final String id =
                validated(VALID, 0, Configuration.NONE).configuration().changeId();
        assertEquals(validated(VALID, 0, Configuration.NONE).configuration().changeId(), id);
        assertNotEquals(validated(VALID, 1, Configuration.NONE).configuration().changeId(), id);
        assertNotEquals(
                validated(VALID + " ", 0, Configuration.NONE).configuration().changeId(), id);
    }

    @Test
    public void largestAcceptedConfigurationFitsIntoAChange() throws UnreadableConfigurationException {
        final StringBuilder routes = new StringBuilder(ROUTE);
        for (int i = 2; routes.length() < PlatformHttpServer.MAX_BODY_BYTES - 1_000; i++) {
            routes.append(',').append(ROUTE.replace("r-1", "r-" + i).replace("kafi810.", "kafa" + i + "."));
        }
        final String largest = VALID.replace(ROUTE + "," + OTHER, routes);
        assertTrue(largest.length() <= PlatformHttpServer.MAX_BODY_BYTES, largest.length() + " bytes");
        final byte[] change = ConfigurationTranslator.toChange(largest.getBytes(UTF_8), 0);
        assertTrue(change.length <= ConfigurationReader.MAX_BYTES, change.length + " bytes as a change");
        assertTrue(validated(largest, 0, Configuration.NONE).findings().isEmpty());
    }
}
