package brookpath.tools.plan;

import jakarta.json.JsonObject;
import java.util.Set;
import java.util.TreeSet;

/** Where the sessions of a gateway would go, were it drained. */
final class DrainPlan {
    private final StatusPages pages;
    private final PlanReport report;

    DrainPlan(final StatusPages pages, final PlanReport report) {
        this.pages = pages;
        this.report = report;
    }

    /** Reports each step, and the gateways that are left. */
    void report(final int node) {
        final String place = "/fronts/" + node;
        final String zone = zoneOfGateway(node);
        if (zone == null) {
            report.object(place, "no such gateway is heard");
            return;
        }
        final Set<Integer> inZone = new TreeSet<>();
        final Set<Integer> elsewhere = new TreeSet<>();
        for (final JsonObject process : pages.processes()) {
            if (isGateway(process) && process.getInt("node") != node && takesSessions(process)) {
                (process.getString("zone").equals(zone) ? inZone : elsewhere).add(process.getInt("node"));
            }
        }
        if (inZone.isEmpty() && elsewhere.isEmpty()) {
            report.object(place, "no other gateway is ready; its sessions would find no node");
            return;
        }
        report.print("step 1: node " + node + " is not ready any more and refuses new sessions with 503");
        report.print("step 2: its sessions end one by one over half the recovery bound, each with its cursor good");
        report.print(
                inZone.isEmpty()
                        ? "they go to other zones, none is left in " + zone + ": " + elsewhere
                        : "they find in their zone " + zone + ": " + inZone + ", elsewhere: " + elsewhere);
    }

    /** The zone of a gateway; null where the page shows no gateway of that number. */
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

    private static boolean takesSessions(final JsonObject process) {
        return !process.getBoolean("draining") && StatusPages.hasLease(process);
    }
}
