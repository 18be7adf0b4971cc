package brookpath.coordination.route;

import brookpath.coordination.message.Response;

/** Where a job goes, and why; or the refusal it gets. */
public record Route(Response refusal, String tenant, int group, int node, String because) {
    static Route refused(final int status, final int retryAfterMs, final String code, final String because) {
        final String json = jakarta.json.Json.createObjectBuilder()
                .add("outcome", "refused")
                .add("code", code)
                .add("why", because)
                .build()
                .toString();
        return new Route(new Response(status, retryAfterMs, json, code), "", -1, 0, because);
    }
}
