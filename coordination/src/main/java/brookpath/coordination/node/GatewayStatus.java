package brookpath.coordination.node;

import static brookpath.coordination.message.ResponseStatus.OK;

import brookpath.coordination.configuration.ConfigurationClient;
import brookpath.coordination.heartbeat.HeartbeatTable;
import brookpath.coordination.metadata.ClusterMetadata;
import brookpath.coordination.route.Route;
import brookpath.coordination.route.RouteFinder;
import jakarta.json.Json;
import jakarta.json.JsonArrayBuilder;
import jakarta.json.JsonObjectBuilder;

/** The pages for operators: the state of a gateway, and the explanation of a routing decision. */
final class GatewayStatus {

    private final int self;
    private final String zone;
    private final ConfigurationClient client;

    GatewayStatus(final int self, final String zone, final ConfigurationClient client) {
        this.self = self;
        this.zone = zone;
        this.client = client;
    }

    /** Explains where a publish to, or a subscription of, the topic would be routed, and why. */
    String explain(
            final NodeRequest.Explain request, final RouteFinder routes, final HeartbeatTable table, final long now) {
        final Route route = routes.publish(request.key(), request.topic(), now);
        final int group = routes.admit(request.key(), request.topic()).group();
        final JsonObjectBuilder page = Json.createObjectBuilder()
                .add("node", self)
                .add("topic", request.topic())
                .add("specVersion", client.configuration().version())
                .add("specLeaseLeftMs", leaseLeft(now))
                .add("because", route.because())
                .add("status", route.isRefused() ? route.refusal().status() : OK.code())
                .add("group", group)
                .add("master", route.node());
        if (group >= 0) {
            final JsonArrayBuilder members = Json.createArrayBuilder();
            client.metadata()
                    .groups()
                    .get(group)
                    .members()
                    .forEach(member -> members.add(GroupStatus.row(member, table, group, now, false)));
            page.add("readsFrom", routes.nearest(group, node -> RouteFinder.NOT_FAILED, now));
            page.add("table", members);
        }
        return page.build().toString();
    }

    /**
     * The status page.
     *
     * @param sessions the number of open sessions
     * @param publishes the number of publishes in flight
     */
    String page(final RouteFinder routes, final int sessions, final int publishes, final long now) {
        final JsonArrayBuilder groups = Json.createArrayBuilder();
        for (final ClusterMetadata.GroupInfo group : client.metadata().groups()) {
            groups.add(groupRow(group, routes, now));
        }
        return Json.createObjectBuilder()
                .add("node", self)
                .add("role", "front")
                .add("zone", zone)
                .add("specVersion", client.configuration().version())
                .add("rosterVersion", client.metadata().version())
                .add("specLeaseLeftMs", leaseLeft(now))
                .add("controlMaster", client.controlLeader())
                .add("draining", client.draining())
                .add("sessions", sessions)
                .add("ferries", publishes)
                .add("groups", groups)
                .build()
                .toString();
    }

    private static JsonObjectBuilder groupRow(
            final ClusterMetadata.GroupInfo group, final RouteFinder routes, final long now) {
        final Route route = routes.toLeader(new Route(null, "", group.id(), 0, "group " + group.id()), now);
        return Json.createObjectBuilder()
                .add("group", group.id())
                .add("master", route.node())
                .add("why", route.because())
                .add("readsFrom", routes.nearest(group.id(), node -> RouteFinder.NOT_FAILED, now))
                .add("founded", group.founded());
    }

    private long leaseLeft(final long now) {
        return Math.max(0, client.leaseUntil() - now);
    }
}
