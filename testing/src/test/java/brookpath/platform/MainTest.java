package brookpath.platform;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import brookpath.programs.Role;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The program names that the deploy file uses. */
public final class MainTest {
    @DataProvider
    public Object[][] names() {
        return new Object[][] {
            {"gateway", Role.GATEWAY}, {"storage-node", Role.STORAGE}, {"controller", Role.CONTROLLER}
        };
    }

    @DataProvider
    public Object[][] formerNames() {
        return new Object[][] {
            {"creel-front", "gateway", Role.GATEWAY},
            {"creel-storage", "storage-node", Role.STORAGE},
            {"bailiff", "controller", Role.CONTROLLER}
        };
    }

    @Test(dataProvider = "names")
    public void currentNameSelectsTheRoleWithoutAWarning(final String name, final Role role) {
        final ByteArrayOutputStream warnings = new ByteArrayOutputStream();
        assertEquals(roleOf(name, warnings), role);
        assertEquals(warnings.toString(UTF_8), "");
    }

    @Test(dataProvider = "formerNames")
    public void formerNameSelectsTheRoleWithAWarning(final String formerName, final String name, final Role role) {
        final ByteArrayOutputStream warnings = new ByteArrayOutputStream();
        assertEquals(roleOf(formerName, warnings), role);
        final String warning = warnings.toString(UTF_8);
        assertTrue(warning.contains(formerName + " is deprecated") && warning.contains("use " + name), warning);
    }

    @Test
    public void unknownNameSelectsNoRole() {
        assertNull(roleOf("front", new ByteArrayOutputStream()));
    }

    private static Role roleOf(final String program, final ByteArrayOutputStream warnings) {
        return Main.role(program, new PrintStream(warnings, true, UTF_8));
    }
}
