package brookpath.testing;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import brookpath.testing.fleet.Fleet;
import brookpath.testing.fleet.Fleet.FleetProcess;
import brookpath.tools.explain.Explain;
import brookpath.tools.plan.Plan;
import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Iterator;
import java.util.stream.Stream;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Tests safety and status codes with real processes and real HTTP; no duration is checked. */
@Test(groups = FleetSmokeTest.REAL_PROCESSES)
public final class FleetSmokeTest {
    /** The test group that runs alone, see testng.xml. */
    static final String REAL_PROCESSES = "real-processes";

    private static final int TIMEOUT_MS = 120_000;
    private static final String KEY = "Bearer key-jadran-1";
    private static final String DOCUMENT =
            "{\"basedOn\":0,\"changeId\":\"first\",\"spaces\":[{\"name\":\"permits\",\"keepingSeconds\":60}],"
                    + "\"tenants\":[{\"name\":\"jadran\",\"spaces\":[\"permits\"],\"keys\":[\"key-jadran-1\"]},"
                    + "{\"name\":\"other\",\"spaces\":[],\"keys\":[\"key-other-1\"]}]}";

    private final HttpClient http =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private Fleet fleet;

    @BeforeClass(groups = REAL_PROCESSES)
    public void start() throws Exception {
        final Path folder = Files.createTempDirectory("brookpath-smoke");
        fleet = new Fleet(folder, 0, 2, null, "");
        fleet.start();
        assertTrue(fleet.awaitReady(TIMEOUT_MS), "fleet did not become ready");
        assertEquals(change(DOCUMENT).statusCode(), 200);
    }

    @AfterClass(groups = REAL_PROCESSES, alwaysRun = true)
    public void stop() throws Exception {
        fleet.close();
    }

    private HttpResponse<String> change(final String document) throws Exception {
        return fleet.post(fleet.processes().get(2), "/v1/changes", document);
    }

    private HttpResponse<String> publish(final int gateway, final String topic, final String auth, final String body)
            throws Exception {
        return http.send(
                HttpRequest.newBuilder(
                                URI.create(fleet.gateways().get(gateway).url("/v1/topics/" + topic + "/messages")))
                        .header("Authorization", auth)
                        .POST(HttpRequest.BodyPublishers.ofString(body))
                        .build(),
                BodyHandlers.ofString());
    }

    private static String message(final long seq) {
        return "{\"sender\":\"ana\",\"sequence\":" + seq + ",\"message\":\"no " + seq + "\"}";
    }

    private Iterator<String> listen(final int gateway, final String cursor) throws Exception {
        final HttpResponse<Stream<String>> r = http.send(
                HttpRequest.newBuilder(URI.create(
                                fleet.gateways().get(gateway).url("/v1/stream?topic=permits/north&cursor=" + cursor)))
                        .header("Authorization", KEY)
                        .build(),
                BodyHandlers.ofLines());
        assertEquals(r.statusCode(), 200);
        return r.body().iterator();
    }

    private static String nextMessage(final Iterator<String> lines) {
        String line = lines.next();
        while (!line.contains("\"type\":\"message\"")) {
            line = lines.next();
        }
        return line;
    }

    private static String cursor(final String line) {
        return line.replaceAll(".*\"cursor\":\"([^\"]*)\".*", "$1");
    }

    @Test
    public void committedMessagesSurviveTheLossOfTheirLeader() throws Exception {
        final Iterator<String> lines = listen(1, "");
        final String begin = cursor(lines.next());
        for (int seq = 1; seq <= 5; seq++) {
            assertEquals(publish(0, "permits/north", KEY, message(seq)).statusCode(), 200);
        }
        String last = "";
        for (int seq = 1; seq <= 5; seq++) {
            last = nextMessage(lines);
            assertTrue(last.contains("\"sequence\":" + seq + ","), last);
        }
        final String middle = cursor(last);
        // the topic's leader is one of these nodes; each in turn is killed with SIGKILL and restarted
        long seq = 5;
        for (final FleetProcess process : fleet.storages().subList(0, 2)) {
            process.kill();
            seq++;
            int status = 0;
            for (int attempt = 0; attempt < 600 && status != 200; attempt++) {
                status =
                        publish(attempt % 2, "permits/north", KEY, message(seq)).statusCode();
                assertTrue(status == 200 || status == 503 || status == 504, "status " + status);
            }
            assertEquals(status, 200, "no publish was committed after a storage node was killed");
            process.start(false);
            assertTrue(fleet.awaitReady(TIMEOUT_MS));
            awaitRecovered(process);
        }
        final Iterator<String> again = listen(0, begin);
        for (int n = 1; n <= seq; n++) {
            final String line = nextMessage(again);
            assertTrue(line.contains("\"sequence\":" + n + ",") && line.contains("no " + n), line);
        }
        final String sixth = nextMessage(listen(1, middle));
        assertTrue(sixth.contains("\"sequence\":6,"), sixth);
    }

    /** Waits until a restarted node has recovered, that is, hears a leader in each of its groups. */
    private void awaitRecovered(final FleetProcess process) throws Exception {
        final long end = System.nanoTime() + TIMEOUT_MS * 1_000_000L;
        String status = "";
        while (System.nanoTime() < end) {
            status = fleet.get(process, "/v1/status");
            if (status.contains("\"group\":")
                    && !status.contains("\"master\":0")
                    && !status.contains("\"lost\":true")) {
                return;
            }
        }
        throw new AssertionError("node " + process.node + " did not recover: " + status);
    }

    private String awaitStatus(final FleetProcess process, final String part) throws Exception {
        final long end = System.nanoTime() + TIMEOUT_MS * 1_000_000L;
        String status = "";
        while (System.nanoTime() < end && !status.contains(part)) {
            status = fleet.get(process, "/v1/status");
        }
        assertTrue(status.contains(part), part + " is not in " + status);
        return status;
    }

    @Test
    public void changedSettingsAreAppliedOrRejectedAtRuntime() throws Exception {
        final FleetProcess process = fleet.processes().get(3);
        final String valid = Files.readString(process.settings()).strip();
        Files.writeString(process.settings(), valid.substring(0, valid.length() - 1) + ",\"segmentBytes\":123456}");
        awaitStatus(process, "\"segmentBytes\":123456");
        Files.writeString(process.settings(), valid.replace("\"zone\":", "\"zone\":1,\"colour\":"));
        final String status = awaitStatus(process, "\"/colour\"");
        assertTrue(status.contains("\"segmentBytes\":123456") && status.contains("\"/zone\""), status);
        Files.delete(process.settings());
        awaitStatus(process, "missing or unreadable; the next start needs it");
        Files.writeString(process.settings(), valid);
        awaitStatus(process, "\"keptOut\":[]");
        assertEquals(change(DOCUMENT).statusCode(), 200, "the process continues with its previous settings");
    }

    @Test
    public void invalidInputIsRefusedWithItsLocation() throws Exception {
        assertEquals(
                publish(0, "permits/north", "Bearer nobody-knows", message(1)).statusCode(), 401);
        assertEquals(
                publish(0, "permits/north", "Bearer key-other-1", message(1)).statusCode(), 403);
        assertEquals(publish(0, "closures/x", KEY, message(1)).statusCode(), 403);
        assertEquals(publish(0, "permits/a%20b", KEY, message(1)).statusCode(), 400);
        assertEquals(publish(0, "permits/x", KEY, "not json").statusCode(), 400);
        final HttpResponse<String> response =
                publish(0, "permits/x", KEY, "{\"sender\":\"a b\",\"sequence\":-1,\"massage\":\"\"}");
        assertEquals(response.statusCode(), 400);
        for (final String place : new String[] {"/sender", "/sequence", "/massage", "/message"}) {
            assertTrue(response.body().contains("\"" + place + "\""), response.body());
        }
        assertEquals(
                publish(
                                0,
                                "permits/x",
                                KEY,
                                "{\"sender\":\"a\",\"sequence\":1,\"message\":\"" + "x".repeat(16_385) + "\"}")
                        .statusCode(),
                413);
        assertEquals(
                publish(
                                0,
                                "permits/x",
                                KEY,
                                "{\"sender\":\"a\",\"sequence\":1,\"message\":\"" + "x".repeat(16_384) + "\"}")
                        .statusCode(),
                200);
        assertEquals(publish(0, "permits/x", KEY, "x".repeat(100_000)).statusCode(), 413);
        assertEquals(publish(0, "permits/x", KEY, message(9)).statusCode(), 200);
        assertEquals(publish(1, "permits/x", KEY, message(8)).statusCode(), 409);
        assertEquals(change("nonsense").statusCode(), 400);
        assertEquals(change(DOCUMENT.replace("first", "stale")).statusCode(), 409);
        assertEquals(change(DOCUMENT).statusCode(), 200, "the same change again");
        final HttpResponse<String> wrong = change(
                "{\"basedOn\":1,\"changeId\":\"wrong\",\"colour\":1,\"spaces\":[{\"name\":\"a\",\"keepingSeconds\":0,"
                        + "\"replSize\":5},{\"name\":\"a\",\"keepingSeconds\":\"x\"}],\"tenants\":[{\"name\":\"t\",\"spaces\":[\"none\"],\"keys\":[\"key-12345\",\"key-12345\"]}]}");
        assertEquals(wrong.statusCode(), 422);
        for (final String place : new String[] {
            "/colour",
            "/spaces/0/keepingSeconds",
            "/spaces/0/replSize",
            "/spaces/1/name",
            "/spaces/1/keepingSeconds",
            "/tenants/0/spaces/0",
            "/tenants/0/keys/1"
        }) {
            assertTrue(wrong.body().contains("\"" + place + "\""), place + " is not in " + wrong.body());
        }
        assertTrue(fleet.get(fleet.processes().get(3), "/v1/spec").contains("\"version\":1,"));
    }

    @Test
    public void explainShowsTheRouteAndUnreachableProcesses() throws Exception {
        final StringBuilder at = new StringBuilder();
        for (final FleetProcess process : new FleetProcess[] {
            fleet.gateways().get(0), fleet.storages().get(3), fleet.processes().get(1)
        }) {
            at.append(at.length() == 0 ? "" : ",")
                    .append(Fleet.HOST)
                    .append(':')
                    .append(process.httpPort);
        }
        final ByteArrayOutputStream out = new ByteArrayOutputStream();
        final ByteArrayOutputStream err = new ByteArrayOutputStream();
        assertEquals(
                Explain.run(
                        new String[] {"--topic", "permits/north", "--key", "key-jadran-1", "--at", at.toString()},
                        new PrintStream(out),
                        new PrintStream(err)),
                0,
                err.toString(UTF_8));
        assertTrue(
                out.toString(UTF_8).contains("spec 1 puts permits/north into group")
                        && out.toString(UTF_8).contains("placement:"),
                out.toString(UTF_8));
        assertEquals(
                Explain.run(
                        new String[] {"--change", "first", "--at", at + "," + Fleet.HOST + ":1"},
                        new PrintStream(out),
                        new PrintStream(err)),
                1);
        assertTrue(
                out.toString(UTF_8).contains("confirmed") && err.toString(UTF_8).contains(":1: could not be reached"),
                out + " " + err);
        assertEquals(
                Explain.run(
                        new String[] {"--topic", "odd", "--at", "nowhere", "stray"},
                        new PrintStream(out),
                        new PrintStream(err)),
                2);
        assertTrue(
                err.toString(UTF_8).contains("--topic")
                        && err.toString(UTF_8).contains("\"nowhere\"")
                        && err.toString(UTF_8).contains("stray"),
                err.toString(UTF_8));
    }

    private static String plan(final int exit, final String... args) throws Exception {
        final ByteArrayOutputStream printed = new ByteArrayOutputStream();
        assertEquals(Plan.run(args, new PrintStream(printed), new PrintStream(printed)), exit, printed.toString(UTF_8));
        return printed.toString(UTF_8);
    }

    @Test
    public void planPrintsTheStepsAndChangesNothing() throws Exception {
        final String at = Fleet.HOST + ":" + fleet.processes().get(2).httpPort;
        final String before =
                fleet.get(fleet.processes().get(2), "/v1/status").replaceAll(".*\"rosterVersion\":([0-9]+).*", "$1");
        final String steps = plan(0, "--retire", "12", "--at", at);
        assertTrue(
                steps.contains("becomes a learner")
                        && steps.contains("becomes a voter")
                        && steps.contains("node 12 is removed from the group")
                        && steps.contains("node 12 in zone b holds 0"),
                steps);
        assertTrue(plan(1, "--retire", "99", "--at", at).contains("/storages/99"));
        assertTrue(plan(0, "--drain", "31", "--at", at).contains("[32]"));
        final Path documentFile = Files.createTempFile("change", ".json");
        Files.writeString(
                documentFile,
                DOCUMENT.replace("\"basedOn\":0", "\"basedOn\":7")
                        .replace("\"key-other-1\"", "")
                        .replace("\"first\"", "\"next\""));
        final String change = plan(1, "--change", documentFile.toString(), "--at", Fleet.HOST + ":1," + at);
        assertTrue(
                change.contains("/basedOn")
                        && change.contains("1 keys removed")
                        && change.contains(":1: could not be reached"),
                change);
        Files.writeString(documentFile, "{\"spaces\":7}");
        assertTrue(plan(1, "--change", documentFile.toString(), "--at", at).contains("/changeId"));
        final String wrong = plan(2, "--retire", "x", "--drain", "3", "stray");
        assertTrue(
                wrong.contains("--retire")
                        && wrong.contains("--at")
                        && wrong.contains("stray")
                        && wrong.contains("one of"),
                wrong);
        assertEquals(
                fleet.get(fleet.processes().get(2), "/v1/status").replaceAll(".*\"rosterVersion\":([0-9]+).*", "$1"),
                before);
    }

    @Test
    public void malformedFrameClosesOnlyItsOwnConnection() throws Exception {
        final FleetProcess process = fleet.storages().get(3);
        try (Socket s = new Socket(Fleet.HOST, process.peerPort())) {
            final OutputStream os = s.getOutputStream();
            os.write(new byte[] {0, 0, 0, 12, 0, 0, 0, 99, 1, 2, 3, 4, 5, 6, 7, 8});
            os.flush();
            assertEquals(s.getInputStream().read(), -1, "the connection was not closed");
        }
        assertTrue(fleet.get(process, "/v1/wire").contains("\"malformedFrames\":1,"), fleet.get(process, "/v1/wire"));
        assertFalse(fleet.get(process, "/v1/status").isEmpty());
    }
}
