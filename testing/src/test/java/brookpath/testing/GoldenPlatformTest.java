package brookpath.testing;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static java.nio.charset.StandardCharsets.UTF_8;

import brookpath.coordination.action.Action;
import brookpath.coordination.action.Actions;
import brookpath.coordination.message.Response;
import brookpath.coordination.node.NodeRequest;
import brookpath.coordination.route.RouteFinder;
import brookpath.platform.control.OperatorRequestHandler;
import brookpath.platform.control.PlatformHttpServer;
import brookpath.platform.control.ReadinessRequestHandler;
import brookpath.platform.control.UsagePoster;
import brookpath.platform.line.LineServer;
import brookpath.state.record.LogRecord;
import brookpath.transport.loop.Host;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioIoHandler;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The bytes that a node sends to clients, operators and the platform, compared with recorded ones. */
public final class GoldenPlatformTest {
    private static final String LOCAL = "127.0.0.1:";
    private static final int TIMEOUT_MS = 10_000;
    private static final long PING_INTERVAL_MS = 600_000;
    /** The response to a request for such a topic has the status, and the code, that the topic contains. */
    private static final Pattern STATUS_TOPIC = Pattern.compile("status/([0-9]+)-?([a-z]*)");

    private static final Pattern BASED_ON = Pattern.compile("\"basedOn\":([0-9]+)");
    private static final String HELLO = "HELLO ana key-1\r\n";
    /** Sent after all other responses were read: its own must come next, so that no unexpected line goes unnoticed. */
    private static final String LAST_REQUEST = "AUDIENCE end\r\n";

    private static final String BODY = "a message of 27 characters.";
    private static final String ROUTE =
            "{\"Name\":\"r-1\",\"Hostname\":\"\",\"PathPrefix\":\"kafi810.\",\"RouteKind\":\"retained\",\"TimeoutMs\":1500,"
                    + "\"TargetLatencyMs\":120,\"Priority\":1,\"RetentionS\":34.5,\"OrderedDelivery\":\"topic\",\"Public\":false}";
    private static final String OPEN_ROUTE =
            "{\"Name\":\"r-2\",\"PathPrefix\":\"kalo.\",\"TimeoutMs\":200,\"Public\":true,\"Service\":\"s-1\"}";
    private static final String CONFIGURATION = "{\"Revision\":7,\"Routes\":[" + ROUTE + "," + OPEN_ROUTE
            + "],\"Services\":[{\"Name\":\"s-1\"}],\"Limits\":{\"MaximumBodyBytes\":262144,\"Subscriptions\":200},"
            + "\"Tenants\":[{\"Name\":\"nofi360\",\"AccessKeys\":[\"k1\",\"k2\"],\"Priority\":1}]}";
    private static final String MINIMAL_CONFIGURATION =
            "{\"Revision\":8,\"Routes\":[],\"Services\":[],\"Limits\":{},\"Tenants\":[]}";

    private final GoldenFile golden = new GoldenFile(GoldenPlatformTest.class, "golden-platform.txt");
    /** The configuration changes that reached the node, by the version that they are based on. */
    private final Map<Integer, String> changes = new ConcurrentHashMap<>();

    private EventLoopGroup loops;
    private Host host;
    private int linePort;
    private int operatorPort;
    private int readinessPort;
    private volatile Response readiness = new Response(200, 0, "{}");

    @BeforeClass
    public void start() throws Exception {
        loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        host = new ScriptedNode(this::respond).start();
        linePort = freePort();
        new LineServer().listen(LOCAL + linePort, host, loops, PING_INTERVAL_MS);
        operatorPort = freePort();
        PlatformHttpServer.listen(LOCAL + operatorPort, loops, new OperatorRequestHandler(host));
        readinessPort = freePort();
        PlatformHttpServer.listen(LOCAL + readinessPort, loops, new ReadinessRequestHandler(host));
    }

    @AfterClass(alwaysRun = true)
    public void stop() throws Exception {
        host.close();
        loops.shutdownGracefully().syncUninterruptibly();
        golden.write();
    }

    // ---- the scripted node

    private void respond(final NodeRequest request, final Actions out) {
        if (request instanceof NodeRequest.Open r) {
            out.respond(r.requestId(), response(r.key().equals("key-1") ? "status/200" : "status/401-key"));
        } else if (request instanceof NodeRequest.Publish r) {
            out.respond(r.requestId(), response(r.topic()));
        } else if (request instanceof NodeRequest.Join r) {
            join(r, out);
        } else if (request instanceof NodeRequest.Leave r) {
            out.respond(r.requestId(), response("status/200"));
        } else if (request instanceof NodeRequest.Count r) {
            final boolean end = r.topic().equals("end");
            out.respond(r.requestId(), end ? new Response(200, 0, "{\"listeners\":42}") : response(r.topic()));
        } else if (request instanceof NodeRequest.ReadinessProbe r) {
            out.respond(r.requestId(), readiness);
        } else if (request instanceof NodeRequest.Operate r) {
            out.respond(r.requestId(), operate(r));
        }
    }

    private static Response response(final String topic) {
        final Matcher status = STATUS_TOPIC.matcher(topic);
        return status.matches()
                ? new Response(Integer.parseInt(status.group(1)), 0, "{\"why\":\"as asked\"}", status.group(2))
                : new Response(200, 0, "{}");
    }

    private void join(final NodeRequest.Join request, final Actions out) {
        switch (request.topic()) {
            case "space/delivered" -> {
                out.respond(request.requestId(), new Response(200, 0, "c0"));
                out.deliverRecord(request.sessionId(), publish(41, "space/delivered", "text"));
                out.deliverRecord(request.sessionId(), publish(123_456_789, "space/delivered", BODY));
            }
            case "space/ended" -> {
                out.respond(request.requestId(), new Response(200, 0, "c0"));
                out.topicEnded(request.sessionId(), "space/ended", new Response(410, 0, "{}", "gone"));
                out.topicEnded(request.sessionId(), "space/ended", new Response(403, 0, "{}", "rights"));
            }
            case "space/moved" -> out.moveSession(request.sessionId(), "10.0.0.7:7000");
            case "space/closed" -> out.moveSession(request.sessionId(), "");
            default -> out.respond(request.requestId(), response(request.topic()));
        }
    }

    private static LogRecord publish(final long position, final String topic, final String text) {
        return LogRecord.of(
                position,
                3,
                1_700_000_000_000L,
                LogRecord.PUBLISH,
                LogRecord.publishBody(77, 2, "nofi360", topic, "bo", text),
                0);
    }

    private Response operate(final NodeRequest.Operate request) {
        final String body = new String(request.body(), UTF_8);
        return switch (request.kind()) {
            case CHANGE -> change(body);
            case CONFIGURATION ->
                new Response(200, 0, "{\"version\":7,\"document\":{\"annotation\":\"{\\\"Revision\\\": 7 }\"}}");
            case RETIRE_NAMED ->
                body.equals("machine-1")
                        ? new Response(200, 0, "{}")
                        : new Response(404, 0, "{\"outcome\":\"refused\",\"findings\":[]}");
            case RETIRED -> new Response(200, 0, "{\"retired\":" + body.equals("machine-1") + "}");
            default -> new Response(400, 0, "{\"kind\":\"" + request.kind() + "\"}");
        };
    }

    /** Responds with the version that the change is based on as the status. */
    private Response change(final String body) {
        final Matcher basedOn = BASED_ON.matcher(body);
        final int status = basedOn.find() ? Integer.parseInt(basedOn.group(1)) : 0;
        changes.put(status, body);
        return new Response(status, status > 500 ? 1_500 : 0, "{\"outcome\":\"as asked\"}");
    }

    // ---- the line protocol

    @DataProvider
    public Object[][] lines() {
        return new Object[][] {
            {"ping", "PING\r\n", 1},
            {"hello", HELLO, 1},
            {"hello, key unknown", "HELLO ana wrong\r\n", 1},
            {"hello, name missing", "HELLO\r\n", 1},
            {"hello, twice", HELLO + "HELLO ana key-1\r\n", 2},
            {"unknown word", "NONSENSE a b\r\n", 1},
            {"unprintable word", "\u0001\r\n", 1},
            {"before hello, publish", publishLine("status/200"), 1},
            {"before hello, subscribe", "SUBSCRIBE space/a\r\n", 1},
            {"publish", HELLO + publishLine("status/200") + LAST_REQUEST, 3},
            {"publish, 401", HELLO + publishLine("status/401") + LAST_REQUEST, 3},
            {"publish, 403", HELLO + publishLine("status/403") + LAST_REQUEST, 3},
            {"publish, no such space", HELLO + publishLine("status/403-" + RouteFinder.UNKNOWN_SPACE) + LAST_REQUEST, 3
            },
            {"publish, 404", HELLO + publishLine("status/404") + LAST_REQUEST, 3},
            {"publish, 409", HELLO + publishLine("status/409") + LAST_REQUEST, 3},
            {"publish, 410", HELLO + publishLine("status/410") + LAST_REQUEST, 3},
            {"publish, 413", HELLO + publishLine("status/413") + LAST_REQUEST, 3},
            {"publish, 503", HELLO + publishLine("status/503") + LAST_REQUEST, 3},
            {"publish, 504", HELLO + publishLine("status/504") + LAST_REQUEST, 3},
            {"publish, 400", HELLO + publishLine("status/400") + LAST_REQUEST, 3},
            {"publish, number missing", HELLO + "PUBLISH space/a x 27\r\n" + BODY + "\r\n", 2},
            {"publish, body too short", HELLO + "PUBLISH space/a 1 4\r\nbody\r\n", 2},
            {"publish, length unreadable", HELLO + "PUBLISH space/a 1 x\r\n", 2},
            {"subscribe, deliveries", HELLO + "SUBSCRIBE space/delivered\r\n" + LAST_REQUEST, 7},
            {"subscribe, ended later", HELLO + "SUBSCRIBE space/ended c5\r\n" + LAST_REQUEST, 5},
            {"subscribe, moved", HELLO + "SUBSCRIBE space/moved c5\r\n" + LAST_REQUEST, 3},
            {"subscribe, closed", HELLO + "SUBSCRIBE space/closed c5\r\n", -1},
            {"subscribe, cursor unreadable", HELLO + "SUBSCRIBE status/400-cursor c5\r\n" + LAST_REQUEST, 3},
            {"subscribe, too many words", HELLO + "SUBSCRIBE space/a c5 x\r\n", 2},
            {"detach", HELLO + "DETACH space/a\r\n" + LAST_REQUEST, 3},
            {"audience, refused", HELLO + "AUDIENCE status/503\r\n" + LAST_REQUEST, 3},
        };
    }

    private static String publishLine(final String topic) {
        return "PUBLISH " + topic + " 12 " + BODY.length() + "\r\n" + BODY + "\r\n";
    }

    @Test(dataProvider = "lines")
    public void clientsReceiveRecordedLines(final String name, final String sent, final int count) throws IOException {
        golden.assertHolds("line, " + name, oneLine(lines(sent, count)));
    }

    /**
     * Sends the lines and reads the given number of lines; a negative count reads until the node closes the connection.
     * The HELLO is sent alone, because the session opens only with its response. So is the last request: responses are
     * written by two threads, so that its response could overtake that of an earlier request that is still pending.
     */
    private String lines(final String sent, final int count) throws IOException {
        try (Socket socket = connect(linePort)) {
            final boolean startsWithHello = sent.startsWith(HELLO);
            final boolean endsWithLast = sent.endsWith(LAST_REQUEST);
            final String helloResponse = startsWithHello ? exchangeLines(socket, HELLO, 1) : "";
            final String middle = sent.substring(
                    startsWithHello ? HELLO.length() : 0, sent.length() - (endsWithLast ? LAST_REQUEST.length() : 0));
            final int left = count < 0 ? Integer.MAX_VALUE : count - (startsWithHello ? 1 : 0) - (endsWithLast ? 1 : 0);
            final String middleResponses = exchangeLines(socket, middle, left);
            return helloResponse + middleResponses + (endsWithLast ? exchangeLines(socket, LAST_REQUEST, 1) : "");
        }
    }

    private static String exchangeLines(final Socket socket, final String sent, final int lines) throws IOException {
        send(socket, sent);
        return read(socket, lines);
    }

    // ---- operator requests and the readiness probe

    @DataProvider
    public Object[][] operatorRequests() {
        return new Object[][] {
            {"replace", replace(200, CONFIGURATION)},
            {"replace, smallest", replace(201, MINIMAL_CONFIGURATION)},
            {"replace, unreadable", replace(202, CONFIGURATION.substring(0, 40))},
            {"replace, service unknown", replace(202, CONFIGURATION.replace("{\"Name\":\"s-1\"}", ""))},
            {"replace, no version", httpRequest("POST", "Configuration.Replace", "", CONFIGURATION)},
            {"replace, out of date", replace(409, CONFIGURATION)},
            {"replace, invalid", replace(422, CONFIGURATION)},
            {"replace, not available", replace(503, CONFIGURATION)},
            {"replace, unsettled", replace(504, CONFIGURATION)},
            {"read", httpRequest("GET", "Configuration.Read", "", "")},
            {"retire", httpRequest("POST", "Retire.Begin/machine-1", "", "")},
            {"retire, unknown", httpRequest("POST", "Retire.Begin/machine-2", "", "")},
            {"retired, completed", httpRequest("GET", "Retire.Read/machine-1", "", "")},
            {"retired, running", httpRequest("GET", "Retire.Read/machine-2", "", "")},
            {"unknown path", httpRequest("GET", "Nonsense", "", "")},
            {"not http", "nonsense\r\n\r\n"},
        };
    }

    private static String replace(final int basedOn, final String configuration) {
        return httpRequest(
                "POST", "Configuration.Replace", "X-Brookpath-Based-On-Version: " + basedOn + "\r\n", configuration);
    }

    private static String httpRequest(final String method, final String path, final String header, final String body) {
        return method + " /brookpath/" + path + " HTTP/1.1\r\nHost: x\r\n" + header + "Content-Length: " + body.length()
                + "\r\nConnection: close\r\n\r\n" + body;
    }

    @Test(dataProvider = "operatorRequests")
    public void operatorsReceiveRecordedResponses(final String name, final String httpRequest) throws IOException {
        golden.assertHolds("operator, " + name, oneLine(exchange(operatorPort, httpRequest)));
    }

    @Test(dependsOnMethods = "operatorsReceiveRecordedResponses")
    public void nodeReceivesRecordedChanges() {
        golden.assertHolds("change, of a configuration", changes.get(200));
        golden.assertHolds("change, of the smallest configuration", changes.get(201));
    }

    @Test
    public void readinessProbeReceivesRecordedResponses() throws IOException {
        final String probe = httpRequest("GET", "readiness", "", "");
        golden.assertHolds("readiness, serving", oneLine(exchange(readinessPort, probe)));
        golden.assertHolds(
                "readiness, two calls on one connection",
                oneLine(exchange(readinessPort, probe.replace("Connection: close\r\n", "") + probe)));
        readiness = new Response(200, 0, "{}", "spec");
        golden.assertHolds("readiness, nothing to serve yet", oneLine(exchange(readinessPort, probe)));
        readiness = new Response(503, 0, "{}");
        golden.assertHolds("readiness, not serving", oneLine(exchange(readinessPort, probe)));
        golden.assertHolds(
                "readiness, unknown path", oneLine(exchange(readinessPort, httpRequest("GET", "Nonsense", "", ""))));
    }

    // ---- usage reports

    @Test
    public void platformReceivesRecordedUsageReport() {
        final Action.Post post = new Action.Post(
                5,
                "3",
                "{\"reporter\":1,\"epoch\":12,\"windowStartMs\":15000,\"windowEndMs\":20000,\"tenants\":["
                        + "{\"tenant\":\"b\",\"publishes\":4,\"bytes\":9,\"late\":false},"
                        + "{\"tenant\":\"a\",\"publishes\":0,\"bytes\":0,\"late\":true},"
                        + "{\"tenant\":\"\",\"publishes\":1,\"bytes\":2,\"late\":false}]}");
        final UsagePoster poster = new UsagePoster("machine-1", "10.0.0.9:80", TIMEOUT_MS, () -> loops);
        final EmbeddedChannel channel = new EmbeddedChannel(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(final Channel ch) {
                poster.install(ch.pipeline(), post, "10.0.0.9:80", new CompletableFuture<>());
            }
        });
        final StringBuilder text = new StringBuilder();
        for (ByteBuf buffer = channel.readOutbound(); buffer != null; buffer = channel.readOutbound()) {
            text.append(buffer.toString(US_ASCII));
            buffer.release();
        }
        golden.assertHolds("usage report", oneLine(text.toString()));
    }

    // ---- sockets

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }

    private static Socket connect(final int port) throws IOException {
        final Socket socket = new Socket("127.0.0.1", port);
        socket.setSoTimeout(TIMEOUT_MS);
        return socket;
    }

    private static String exchange(final int port, final String httpRequest) throws IOException {
        try (Socket socket = connect(port)) {
            send(socket, httpRequest);
            return read(socket, Integer.MAX_VALUE);
        }
    }

    private static void send(final Socket socket, final String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(US_ASCII));
        socket.getOutputStream().flush();
    }

    /** Reads the given number of lines, or until the other side closes the connection. */
    private static String read(final Socket socket, final int lines) throws IOException {
        final InputStream in = socket.getInputStream();
        final ByteArrayOutputStream received = new ByteArrayOutputStream();
        int left = lines;
        while (left > 0) {
            final int next = in.read();
            if (next < 0) {
                return received.toString(US_ASCII) + "(closed)";
            }
            received.write(next);
            left -= next == '\n' ? 1 : 0;
        }
        return received.toString(US_ASCII);
    }

    private static String oneLine(final String text) {
        return text.replace("\r", "\\r").replace("\n", "\\n");
    }
}
