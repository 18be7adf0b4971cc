package brookpath.transport.wire;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertTrue;

import java.nio.file.Path;
import org.testng.annotations.Test;

/**
 * Netty is told what it would otherwise search for at its start. In a process of its own, since the classes of this one
 * may have been initialized by another test.
 */
@Test(groups = "real-processes")
public final class NettyStartTest {
    @Test(groups = "real-processes")
    public void channelIdsDoNotTakeAHardwareAddress() throws Exception {
        final Process process = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        System.getProperty("surefire.test.class.path", System.getProperty("java.class.path")),
                        ChannelIdProbe.class.getName())
                .start();
        final String id = new String(process.getInputStream().readAllBytes(), UTF_8);
        process.waitFor();
        // why: a machine without a hardware address gets a warning in place of it, and its text takes longer to format
        // than all other steps of the start
        assertTrue(id.startsWith("0000000000000001-00000001-"), "machine and process were searched for: " + id);
    }
}
