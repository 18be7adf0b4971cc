package brookpath.tools.plan;

import jakarta.json.JsonObject;
import java.util.Set;
import java.util.TreeSet;

/** Reports where the sessions of a gateway would go if it were drained. */
final class DrainPlan {
    private final StatusPages pages;
    private final PlanReport report;

    DrainPlan(final StatusPages pages, final PlanReport report) {
        this.pages = pages;
        this.report = report;
    }

    /** Reports each step, and the gateways that remain. */
    void report(final int node) {
        final String place = "/fronts/" + node;
        final String zone = zoneOfGateway(node);
        if (zone == null) {
            report.object(place, "the controllers know no gateway with this number");
            return;
        }
        final Set<Integer> inZone = new TreeSet<>();
        final Set<Integer> inOtherZones = new TreeSet<>();
        for (final JsonObject process : pages.processes()) {
            if (isGateway(process) && process.getInt("node") != node && acceptsSessions(process)) {
                (process.getString("zone").equals(zone) ? inZone : inOtherZones).add(process.getInt("node"));
            }
        }
        if (inZone.isEmpty() && inOtherZones.isEmpty()) {
            report.object(place, "no other gateway is ready, so its sessions could not reconnect");
            return;
        }
        report.print("step 1: node " + node + " stops reporting readiness and refuses new sessions with 503");
        report.print(
                "step 2: its sessions are closed one by one over half the recovery bound; their cursors stay valid");
        report.print(
                inZone.isEmpty()
                        ? "its sessions move to other zones, because no gateway remains in " + zone + ": "
                                + inOtherZones
                        : "gateways left in zone " + zone + ": " + inZone + ", in other zones: " + inOtherZones);
    }

    /** The zone of the gateway; null if the page shows no gateway with this number. */
    private String zoneOfGateway(final int node) {
        for (final JsonObject process : pages.processes()) {
            if (isGateway(process) && process.getInt("node") == node) {
                return process.getString("zone");
            }
        }
        return null;
    }

    private static boolean isGateway(final JsonObject process) {
        return process.getString("role").equals(StatusPages.GATEWAY);
    }

    private static boolean acceptsSessions(final JsonObject process) {
        return !process.getBoolean("draining") && StatusPages.hasLease(process);
    }
}
