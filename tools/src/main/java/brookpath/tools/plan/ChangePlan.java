package brookpath.tools.plan;

import static java.nio.charset.StandardCharsets.UTF_8;

import brookpath.coordination.configuration.Configuration;
import brookpath.coordination.configuration.ConfigurationReader;
import brookpath.coordination.group.Quorums;
import jakarta.json.JsonObject;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** What a change of the configuration would do. */
final class ChangePlan {
    /** The controllers' own default; their setting is not on their pages. */
    private static final int TOLERATED_LOSSES = 1;

    private final PlanReport report;

    ChangePlan(final PlanReport report) {
        this.report = report;
    }

    /**
     * Reports what is wrong with the change, and what differs.
     *
     * @param document the change, as it would be submitted
     * @param page the page /v1/spec: the present version with its document
     * @param replicas how many replicas each group has
     */
    void report(final byte[] document, final JsonObject page, final int replicas) {
        final long version = page.getInt("version", 0);
        final Configuration present = version == 0
                ? Configuration.NONE
                : ConfigurationReader.stored(
                        page.getJsonObject("document").toString().getBytes(UTF_8), version);
        final ConfigurationReader.Limits limits =
                new ConfigurationReader.Limits(replicas, Quorums.floor(replicas, TOLERATED_LOSSES));
        final ConfigurationReader.Reading reading = ConfigurationReader.read(document, version + 1, limits, present);
        report.objectAll(reading.findings());
        final Configuration next = reading.configuration();
        if (next == null) {
            return;
        }
        if (next.basedOn() != version) {
            report.object("/basedOn", "is " + next.basedOn() + ", the present version is " + version);
        }
        reportDifferences("space", present.spaces(), next.spaces());
        reportDifferences("tenant", present.tenants(), next.tenants());
        reportKeys(present.keys().keySet(), next.keys().keySet());
    }

    private void reportKeys(final Set<String> before, final Set<String> after) {
        final Set<String> removed = new HashSet<>(before);
        removed.removeAll(after);
        final Set<String> added = new HashSet<>(after);
        added.removeAll(before);
        report.print(added.size() + " keys come; " + removed.size()
                + " keys go, and the sessions on them end as each gateway takes the change");
    }

    private <T> void reportDifferences(final String kind, final Map<String, T> before, final Map<String, T> after) {
        before.keySet().stream()
                .filter(name -> !after.containsKey(name))
                .sorted()
                .forEach(name -> report.print(kind + " " + name + " goes"));
        after.keySet().stream()
                .filter(name -> !before.containsKey(name))
                .sorted()
                .forEach(name -> report.print(kind + " " + name + " comes"));
        after.forEach((name, value) -> {
            final T former = before.get(name);
            if (former != null && !former.equals(value)) {
                report.print(kind + " " + name + " changes from " + former + " to " + value);
            }
        });
    }
}
