package brookpath.testing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import brookpath.programs.Program;
import brookpath.programs.Role;
import brookpath.programs.settings.Settings;
import brookpath.programs.settings.SettingsReader;
import brookpath.programs.settings.SettingsReader.Reading;
import brookpath.programs.settings.SettingsWatch;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.testng.annotations.Test;

/** Reads settings and flags: all errors are reported together, each with its place; deprecated names still work. */
public final class SettingsTest {
    private static Reading read(final Program program, final String json, final String... flags) throws Exception {
        final Path file = Files.createTempFile("settings", ".json");
        Files.writeString(file, json);
        final String[] args = new String[flags.length + 2];
        args[0] = "--settings";
        args[1] = file.toString();
        System.arraycopy(flags, 0, args, 2, flags.length);
        return SettingsReader.read(args, program);
    }

    private static final String GOOD = "{\"node\":31,\"zone\":\"a\",\"role\":\"gateway\",\"http\":\"127.0.0.1:1\","
            + "\"seeds\":[\"1@127.0.0.1:1\",\"2@127.0.0.1:2\",\"3@127.0.0.1:3\"]}";

    private static final String CONTROLLER =
            "{\"node\":1,\"zone\":\"a\",\"http\":\"127.0.0.1:1\",\"peers\":\"127.0.0.1:2\",\"data\":\"d\","
                    + "\"seeds\":[\"1@127.0.0.1:2\",\"2@127.0.0.1:3\",\"3@127.0.0.1:4\"],\"segmentBytes\":100000,\"platform\":\"http://127.0.0.1:9/a\"}";

    @Test
    public void flagsTakePrecedenceOverTheFile() throws Exception {
        final Reading rd = read(Program.DATA_NODE, GOOD, "--zone", "b");
        assertTrue(rd.findings().isEmpty(), rd.findings().toString());
        assertEquals(rd.settings().zone(), "b");
        assertEquals(rd.settings().node(), 31);
        assertEquals(rd.settings().role(), Role.GATEWAY);
        assertEquals(rd.warnings(), List.of());
    }

    @Test
    public void allErrorsAreReportedTogether() throws Exception {
        final String all = read(
                        Program.DATA_NODE,
                        "{\"node\":\"x\",\"zone\":7,\"role\":\"middle\",\"http\":\"nowhere\",\"bounds\":{\"deliverMs\":1,\"pace\":2},"
                                + "\"seeds\":[\"1@127.0.0.1:1\",\"one\"],\"colour\":1}",
                        "stray")
                .findings()
                .toString();
        for (final String place : new String[] {
            "/node",
            "/zone",
            "/role",
            "/http",
            "/bounds/deliverMs",
            "/bounds/pace",
            "/seeds/1",
            "/seeds:",
            "/colour",
            "stray"
        }) {
            assertTrue(all.contains(place), place + " is not in " + all);
        }
    }

    @Test
    public void contradictoryBoundsAreAFinding() throws Exception {
        final String all = read(
                        Program.DATA_NODE,
                        GOOD.replace("\"node\"", "\"bounds\":{\"deliverMs\":4000,\"changeMs\":1000},\"node\""))
                .findings()
                .toString();
        assertTrue(all.contains("/bounds/changeMs"), all);
    }

    @Test
    public void anUnknownFlagAndAMissingFileAreFindings() {
        assertTrue(SettingsReader.read(new String[] {"--pace", "3"}, Program.CONTROLLER)
                .findings()
                .toString()
                .contains("--pace"));
        assertTrue(SettingsReader.read(new String[] {"--settings", "/nowhere/at/all"}, Program.CONTROLLER)
                .findings()
                .toString()
                .contains("cannot be read"));
    }

    @Test
    public void theDeprecatedRoleOfAGatewayWorksWithAWarning() throws Exception {
        final Reading former = read(Program.DATA_NODE, GOOD.replace("\"gateway\"", "\"front\""));
        assertEquals(former.findings(), List.of());
        assertEquals(former.settings().role(), Role.GATEWAY);
        assertEquals(former.settings(), read(Program.DATA_NODE, GOOD).settings());
        assertWarned(former, "/role", "use \"gateway\"");
        assertWarned(read(Program.DATA_NODE, GOOD, "--role", "front"), "--role", "use \"gateway\"");
    }

    @Test
    public void theDeprecatedKeyOfThePeerAddressWorksWithAWarning() throws Exception {
        final Reading former = read(Program.CONTROLLER, CONTROLLER.replace("\"peers\"", "\"siblings\""));
        assertEquals(former.findings(), List.of());
        assertEquals(former.settings(), read(Program.CONTROLLER, CONTROLLER).settings());
        assertWarned(former, "/siblings", "use /peers");
        final Reading both = read(Program.CONTROLLER, CONTROLLER.replace("{", "{\"siblings\":\"127.0.0.1:5\","));
        assertTrue(both.findings().toString().contains("/siblings: is the former name of /peers"), both.toString());
    }

    @Test
    public void theDeprecatedFlagOfThePeerAddressWorksWithAWarning() throws Exception {
        final Reading former = read(Program.CONTROLLER, CONTROLLER, "--siblings", "127.0.0.1:7");
        assertEquals(former.findings(), List.of());
        assertEquals(former.settings().peerAddress(), "127.0.0.1:7");
        assertWarned(former, "--siblings", "use --peers");
        final String wrong = read(Program.CONTROLLER, CONTROLLER, "--siblings", "nowhere")
                .findings()
                .toString();
        assertTrue(wrong.contains("--siblings: must be host:port"), wrong);
        final Reading present = read(Program.CONTROLLER, CONTROLLER, "--peers", "127.0.0.1:7");
        assertEquals(present.settings(), former.settings());
        assertEquals(present.warnings(), List.of());
    }

    private static void assertWarned(final Reading reading, final String place, final String advice) {
        assertEquals(reading.warnings().size(), 1, reading.warnings().toString());
        assertEquals(reading.warnings().get(0).place(), place);
        assertTrue(
                reading.warnings().get(0).what().contains("deprecated"),
                reading.warnings().toString());
        assertTrue(
                reading.warnings().get(0).what().contains(advice),
                reading.warnings().toString());
    }

    @Test
    public void aFileThatChangesWhileTheProcessRunsIsAdoptedCompletelyOrRejected() throws Exception {
        final Path file = Files.createTempFile("settings", ".json");
        final String good = CONTROLLER;
        Files.writeString(file, good);
        final String[] args = {"--settings=" + file};
        final List<Settings> adopted = new ArrayList<>();
        final SettingsWatch watch = new SettingsWatch(
                args,
                Program.CONTROLLER,
                SettingsReader.read(args, Program.CONTROLLER).settings(),
                adopted::add);
        // The random seed makes each kind of invalid file follow each other kind; the expected settings are those of
        // the last valid file.
        final SplittableRandom random = new SplittableRandom(5);
        String platform = "http://127.0.0.1:9/a";
        int changes = 0;
        for (int i = 0; i < 400; i++) {
            final String next = "http://127.0.0.1:9/" + i;
            final String fresh = good.replace("http://127.0.0.1:9/a", next);
            final int kind = random.nextInt(7);
            boolean valid = kind == 0;
            switch (kind) {
                case 0 -> Files.writeString(file, fresh);
                case 1 -> Files.writeString(file, fresh.substring(0, 1 + random.nextInt(fresh.length() - 1)));
                case 2 -> Files.deleteIfExists(file);
                case 3 -> Files.writeString(file, fresh.replace("\"zone\":\"a\"", "\"zone\":\"b\""));
                case 4 -> Files.writeString(file, fresh.replace("100000", "-3"));
                case 5 -> {
                    final Path other = Files.createTempFile("settings", ".json");
                    Files.writeString(other, fresh.replace("\"node\":1", "\"node\":7"));
                    Files.move(other, file, java.nio.file.StandardCopyOption.REPLACE_EXISTING);
                }
                default -> Files.write(file, new byte[] {(byte) random.nextInt(256), 0, 1, (byte) random.nextInt(256)});
            }
            final boolean evaluatedAtOnce = watch.checkFile();
            assertFalse(evaluatedAtOnce, "a file was evaluated at the first check, when it may be half written");
            watch.checkFile();
            if (valid) {
                platform = next;
                changes++;
                assertTrue(watch.findings().isEmpty(), watch.findings().toString());
            } else {
                assertFalse(watch.findings().isEmpty(), "kind " + kind + " was not rejected");
                assertTrue(watch.json().contains("\"keptOut\":[{\"place\":"), watch.json());
            }
            assertEquals(watch.current().platformUrl(), platform);
            assertEquals(watch.current().zone(), "a");
        }
        assertTrue(changes > 20 && adopted.size() == changes, adopted.size() + " of " + changes);
    }
}
