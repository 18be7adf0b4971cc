package brookpath.testing.sim;

import brookpath.coordination.message.Response;
import brookpath.coordination.node.NodeRequest;
import brookpath.testing.oracle.History.Sent;

/** A simulated sender with one message in flight at a time, which it retries until it gets a final answer. */
final class Publisher {
    private static final int MAX_ATTEMPTS_WHEN_QUIET = 40;
    private static final long MIN_BACKOFF_MS = 100;
    private static final int BACKOFF_JITTER_MS = 100;

    private final SimulatedCluster cluster;
    private final Callers callers;
    private final String sender;
    private final String topic;
    private final String key;
    private final long periodMs;
    private final int maxAttempts;

    Publisher(
            final SimulatedCluster cluster,
            final Callers callers,
            final String sender,
            final String topic,
            final String key,
            final long periodMs,
            final int maxAttempts) {
        this.cluster = cluster;
        this.callers = callers;
        this.sender = sender;
        this.topic = topic;
        this.key = key;
        this.periodMs = periodMs;
        this.maxAttempts = maxAttempts;
    }

    void publish(final long sequence) {
        if (callers.quiet) {
            return;
        }
        final Sent sent = cluster.history.sending(topic, sender, sequence, sender + " says " + sequence);
        sent.sentAt = cluster.now();
        attempt(sent, 1);
    }

    private void publishNext(final Sent previous) {
        cluster.at(
                cluster.now() + periodMs / 2 + cluster.random.nextLong(periodMs),
                () -> publish(previous.seq + 1 + cluster.random.nextInt(2)));
    }

    private void attempt(final Sent sent, final int attempt) {
        cluster.count("publish attempts");
        final long requestedAt = cluster.now();
        callers.ask(
                callers.anyGateway(),
                id -> new NodeRequest.Publish(id, key, sent.topic, sent.sender, sent.seq, sent.text),
                response -> answered(sent, attempt, requestedAt, response));
    }

    private void answered(final Sent sent, final int attempt, final long requestedAt, final Response response) {
        if (response.status() < 400 || response.status() >= 500) {
            callers.availability.recordRequest(
                    "publish to group " + callers.groupOf(topic), requestedAt, response.status() == 200);
        }
        switch (response.status()) {
            case 200 -> committed(sent, response);
            case 401, 403 -> {
                cluster.count("keys refused");
                publishNext(sent);
            }
            case 409 -> rejectedForGood(sent);
            default -> unanswered(sent, attempt, response);
        }
    }

    private void committed(final Sent sent, final Response response) {
        callers.operators.checkKeyUse(key, "published");
        final boolean first = sent.committedAt < 0;
        final long now = cluster.now();
        cluster.history.committed(now, sent, Callers.json(response.json()).getInt("position"));
        if (first) {
            callers.deliveryLatency.committed(sent);
            cluster.publishLatencies.add(now - sent.sentAt);
        }
        publishNext(sent);
    }

    private void rejectedForGood(final Sent sent) {
        if (!sent.maybeAppended) {
            cluster.history.violation(
                    cluster.now(),
                    "sequence " + sent.seq + " of " + topic + "|" + sender
                            + " was rejected for good at its first attempt");
        }
        publishNext(sent);
    }

    private void unanswered(final Sent sent, final int attempt, final Response response) {
        // after 503 or an unsent request (-1) nothing was appended; after any other answer the log may have it
        if (response.status() != 503 && response.status() != -1) {
            sent.maybeAppended = true;
            cluster.count(response.status() == 504 ? "unsettled" : "resets and time-outs");
        } else {
            cluster.count("refused temporarily");
        }
        if (attempt >= maxAttempts || (callers.quiet && attempt > MAX_ATTEMPTS_WHEN_QUIET + 1)) {
            sent.abandoned = true;
            cluster.count("abandoned");
            publishNext(sent);
        } else {
            cluster.at(
                    cluster.now()
                            + Math.max(MIN_BACKOFF_MS, response.retryAfterMs())
                            + cluster.random.nextInt(BACKOFF_JITTER_MS),
                    () -> attempt(sent, attempt + 1));
        }
    }
}
