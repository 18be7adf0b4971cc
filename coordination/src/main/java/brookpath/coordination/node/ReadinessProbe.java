package brookpath.coordination.node;

import brookpath.coordination.message.Response;
import brookpath.coordination.message.ResponseStatus;

/** The response to a readiness probe, by which the platform selects healthy nodes. */
final class ReadinessProbe {
    private ReadinessProbe() {}

    static Response response(final boolean leased, final boolean draining) {
        final boolean ready = leased && !draining;
        final String why = draining ? "draining" : leased ? "serving" : "no configuration lease";
        final ResponseStatus status = ready ? ResponseStatus.OK : ResponseStatus.UNAVAILABLE;
        return new Response(status, 0, "{\"ready\":" + ready + ",\"why\":\"" + why + "\"}");
    }
}
