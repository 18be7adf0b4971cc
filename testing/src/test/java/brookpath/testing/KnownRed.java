package brookpath.testing;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import org.testng.IInvokedMethod;
import org.testng.IInvokedMethodListener;
import org.testng.ITestResult;

/**
 * Reports failures of the tests that KNOWN-RED.txt lists as skipped: those tests run, and their failure is printed. A
 * line begins with the test as {@code Class.method} or {@code Class.method[first parameter]}, followed by {@code " |"}.
 * Tests that are not listed fail as usual.
 */
public final class KnownRed implements IInvokedMethodListener {
    @Override
    public void afterInvocation(final IInvokedMethod method, final ITestResult result) {
        if (result.getStatus() == ITestResult.FAILURE && listed(result)) {
            System.out.println("KNOWN RED " + name(result) + Arrays.toString(result.getParameters()) + ": "
                    + result.getThrowable());
            result.setStatus(ITestResult.SKIP);
        }
    }

    private static String name(final ITestResult result) {
        return result.getTestClass().getRealClass().getSimpleName() + "."
                + result.getMethod().getMethodName();
    }

    private static boolean listed(final ITestResult result) {
        final Path file =
                Files.exists(Path.of("KNOWN-RED.txt")) ? Path.of("KNOWN-RED.txt") : Path.of("..", "KNOWN-RED.txt");
        final String parameter = result.getParameters().length == 0 ? "" : "[" + result.getParameters()[0] + "]";
        try {
            return Files.exists(file)
                    && Files.readAllLines(file).stream()
                            .anyMatch(line -> line.startsWith(name(result) + " |")
                                    || line.startsWith(name(result) + parameter + " |"));
        } catch (final IOException ex) {
            throw new UncheckedIOException(ex);
        }
    }
}
