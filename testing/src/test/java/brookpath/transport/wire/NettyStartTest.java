package brookpath.transport.wire;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertTrue;

import java.nio.file.Path;
import org.testng.annotations.Test;

/**
 * Guards against Netty detecting at its start what {@link NettyStart} sets. Runs in a separate process, since another
 * test may have initialized Netty's classes in this one.
 */
@Test(groups = "real-processes")
public final class NettyStartTest {
    @Test(groups = "real-processes")
    public void channelIdsDoNotUseAHardwareAddress() throws Exception {
        final Process process = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        System.getProperty("surefire.test.class.path", System.getProperty("java.class.path")),
                        ChannelIdProbe.class.getName())
                .start();
        final String id = new String(process.getInputStream().readAllBytes(), UTF_8);
        process.waitFor();
        // On a machine without a hardware address Netty logs a warning instead, and formatting it takes longer than all
        // other steps of the start.
        assertTrue(id.startsWith("0000000000000001-00000001-"), "Netty detected the machine or the process ID: " + id);
    }
}
