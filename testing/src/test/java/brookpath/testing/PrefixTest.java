package brookpath.testing;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import brookpath.coordination.configuration.Configuration;
import brookpath.coordination.configuration.ConfigurationReader;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.testng.annotations.Test;

/**
 * The lookup of a space by its longest matching prefix, compared with a search through all spaces, and the findings on
 * invalid documents.
 */
public final class PrefixTest {
    private static final ConfigurationReader.Limits LIMITS = new ConfigurationReader.Limits(3, 2);

    @Test
    public void longestPrefixWins() {
        for (long seed = 0; seed < 200; seed++) {
            final SplittableRandom random = new SplittableRandom(seed);
            final TreeMap<String, String> spaces = new TreeMap<>();
            final StringBuilder doc =
                    new StringBuilder("{\"basedOn\":0,\"changeId\":\"x\",\"tenants\":[],\"spaces\":[");
            for (int i = 0; i < 1 + random.nextInt(8); i++) {
                final String prefix = word(random, 1 + random.nextInt(4));
                if (spaces.putIfAbsent(prefix, "s" + i) == null) {
                    doc.append(spaces.size() == 1 ? "" : ",")
                            .append("{\"name\":\"s")
                            .append(i)
                            .append("\",\"prefix\":\"")
                            .append(prefix)
                            .append("\",\"keepingSeconds\":30}");
                }
            }
            final ConfigurationReader.Reading reading = ConfigurationReader.read(
                    doc.append("]}").toString().getBytes(UTF_8), 1, LIMITS, Configuration.NONE);
            assertTrue(reading.findings().isEmpty(), reading.findings().toString());
            for (int i = 0; i < 50; i++) {
                final String topic = word(random, 1 + random.nextInt(6));
                String best = null;
                for (final String prefix : spaces.keySet()) {
                    best = topic.startsWith(prefix) && (best == null || prefix.length() > best.length())
                            ? prefix
                            : best;
                }
                final Configuration.Space found = reading.configuration().spaceOf(topic);
                assertEquals(
                        found == null ? null : found.name(),
                        best == null ? null : spaces.get(best),
                        "seed " + seed + ", topic " + topic);
            }
        }
    }

    @Test
    public void findingsNameThePlacesOfInvalidFields() {
        final String doc =
                "{\"version\":3,\"basedOn\":3,\"changeId\":\"x\",\"annotation\":7,\"topicsPerSession\":0,\"spaces\":["
                        + "{\"name\":\"a\",\"prefix\":\"p.\",\"keepingSeconds\":30,\"open\":\"yes\",\"answerMs\":0},"
                        + "{\"name\":\"b\",\"prefix\":\"p.\",\"keepingSeconds\":30},{\"name\":\"c\",\"prefix\":\"p q\",\"keepingSeconds\":30}],"
                        + "\"tenants\":[{\"name\":\"t\",\"spaces\":[\"*\"],\"keys\":[\"key-12345\"]},{\"name\":\"u\",\"spaces\":[\"*\"],\"keys\":[\"key-12345\"]}]}";
        final Configuration present = ConfigurationReader.stored(
                "{\"basedOn\":0,\"changeId\":\"y\",\"spaces\":[],\"tenants\":[]}".getBytes(UTF_8), 3);
        final String findings = ConfigurationReader.read(doc.getBytes(UTF_8), 4, LIMITS, present)
                .findings()
                .toString();
        for (final String place : new String[] {
            "/version",
            "/annotation",
            "/topicsPerSession",
            "/spaces/0/open",
            "/spaces/0/answerMs",
            "/spaces/1/prefix",
            "/spaces/2/prefix",
            "/tenants/1/keys/0"
        }) {
            assertTrue(findings.contains(place + ":"), place + " is not in " + findings);
        }
    }

    private static String word(final SplittableRandom random, final int length) {
        final StringBuilder sb = new StringBuilder();
        for (int i = 0; i < length; i++) {
            sb.append((char) ('a' + random.nextInt(3)));
        }
        return sb.toString();
    }
}
