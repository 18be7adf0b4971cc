package brookpath.coordination.node;

import brookpath.coordination.message.Response;

/** Readiness, by which the platform picks healthy nodes. */
final class ReadinessProbe {
    private ReadinessProbe() {}

    static Response response(final boolean leased, final boolean draining) {
        final boolean ready = leased && !draining;
        final String reason = draining ? "draining" : leased ? "serving" : "no spec lease";
        return new Response(ready ? 200 : 503, 0, "{\"ready\":" + ready + ",\"why\":\"" + reason + "\"}");
    }
}
