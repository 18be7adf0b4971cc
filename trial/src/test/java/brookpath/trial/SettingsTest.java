package brookpath.trial;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import brookpath.programs.settings.SettingsReader;
import brookpath.programs.settings.SettingsReader.Reading;
import java.nio.file.Files;
import java.nio.file.Path;
import org.testng.annotations.Test;

/** Settings and flags: all findings, with their place, together. */
public final class SettingsTest {
    private static Reading read(final boolean bailiff, final String json, final String... flags) throws Exception {
        final Path file = Files.createTempFile("settings", ".json");
        Files.writeString(file, json);
        final String[] args = new String[flags.length + 2];
        args[0] = "--settings";
        args[1] = file.toString();
        System.arraycopy(flags, 0, args, 2, flags.length);
        return SettingsReader.read(args, bailiff);
    }

    private static final String GOOD = "{\"node\":31,\"zone\":\"a\",\"role\":\"front\",\"http\":\"127.0.0.1:1\","
            + "\"seeds\":[\"1@127.0.0.1:1\",\"2@127.0.0.1:2\",\"3@127.0.0.1:3\"]}";

    @Test
    public void goodSettingsAndFlagsOverThem() throws Exception {
        final Reading rd = read(false, GOOD, "--zone", "b");
        assertTrue(rd.findings().isEmpty(), rd.findings().toString());
        assertEquals(rd.settings().zone(), "b");
        assertEquals(rd.settings().node(), 31);
    }

    @Test
    public void everythingWrongIsToldAtOnce() throws Exception {
        final String all = read(false, "{\"node\":\"x\",\"zone\":7,\"role\":\"middle\",\"http\":\"nowhere\",\"bounds\":{\"deliverMs\":1,\"pace\":2},"
                + "\"seeds\":[\"1@127.0.0.1:1\",\"one\"],\"colour\":1}", "stray").findings().toString();
        for (final String place : new String[] {"/node", "/zone", "/role", "/http", "/bounds/deliverMs", "/bounds/pace", "/seeds/1", "/seeds:", "/colour", "stray"}) {
            assertTrue(all.contains(place), place + " is not in " + all);
        }
    }

    @Test
    public void boundsThatCannotBeMetTogetherAreAFinding() throws Exception {
        final String all = read(false, GOOD.replace("\"node\"", "\"bounds\":{\"deliverMs\":4000,\"changeMs\":1000},\"node\"")).findings().toString();
        assertTrue(all.contains("/bounds/changeMs"), all);
    }

    @Test
    public void unknownFlagAndMissingFile() {
        assertTrue(SettingsReader.read(new String[] {"--pace", "3"}, true).findings().toString().contains("--pace"));
        assertTrue(SettingsReader.read(new String[] {"--settings", "/nowhere/at/all"}, true).findings().toString().contains("cannot be read"));
    }
}
