package brookpath.tools.plan;

import static java.nio.charset.StandardCharsets.UTF_8;

import brookpath.coordination.configuration.Configuration;
import brookpath.coordination.configuration.ConfigurationReader;
import brookpath.coordination.group.Quorums;
import jakarta.json.JsonObject;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Reports what a change of the configuration would do. */
final class ChangePlan {
    /** The default of the controllers, because the status pages do not show their setting. */
    private static final int TOLERATED_LOSSES = 1;

    private final PlanReport report;

    ChangePlan(final PlanReport report) {
        this.report = report;
    }

    /**
     * Reports the errors in the change, and the differences from the current configuration.
     *
     * @param document the change document as it would be submitted
     * @param page the page /v1/spec with the current version and its document
     * @param replicas the number of replicas of each group
     */
    void report(final byte[] document, final JsonObject page, final int replicas) {
        final long version = page.getInt("version", 0);
        final Configuration current = version == 0
                ? Configuration.NONE
                : ConfigurationReader.stored(
                        page.getJsonObject("document").toString().getBytes(UTF_8), version);
        final ConfigurationReader.Limits limits =
                new ConfigurationReader.Limits(replicas, Quorums.floor(replicas, TOLERATED_LOSSES));
        final ConfigurationReader.Reading reading = ConfigurationReader.read(document, version + 1, limits, current);
        report.objectAll(reading.findings());
        final Configuration next = reading.configuration();
        if (next == null) {
            return;
        }
        if (next.basedOn() != version) {
            report.object("/basedOn", "is " + next.basedOn() + ", but the current version is " + version);
        }
        reportDifferences("space", current.spaces(), next.spaces());
        reportDifferences("tenant", current.tenants(), next.tenants());
        reportKeys(current.keys().keySet(), next.keys().keySet());
    }

    private void reportKeys(final Set<String> before, final Set<String> after) {
        final Set<String> removed = new HashSet<>(before);
        removed.removeAll(after);
        final Set<String> added = new HashSet<>(after);
        added.removeAll(before);
        report.print(added.size() + " keys added; " + removed.size()
                + " keys removed, whose sessions end as each gateway applies the change");
    }

    private <T> void reportDifferences(final String kind, final Map<String, T> before, final Map<String, T> after) {
        before.keySet().stream()
                .filter(name -> !after.containsKey(name))
                .sorted()
                .forEach(name -> report.print(kind + " " + name + " is removed"));
        after.keySet().stream()
                .filter(name -> !before.containsKey(name))
                .sorted()
                .forEach(name -> report.print(kind + " " + name + " is added"));
        after.forEach((name, value) -> {
            final T old = before.get(name);
            if (old != null && !old.equals(value)) {
                report.print(kind + " " + name + " changes from " + old + " to " + value);
            }
        });
    }
}
