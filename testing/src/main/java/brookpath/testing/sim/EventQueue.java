package brookpath.testing.sim;

import java.util.PriorityQueue;

/**
 * Virtual time: runs tasks one after another in the order of their times, and those of the same time in the order in
 * which they were scheduled. Times are in milliseconds. Not thread-safe.
 */
public final class EventQueue {
    private record Event(long time, long sequence, Runnable task) {}

    private final PriorityQueue<Event> events = new PriorityQueue<>(
            (a, b) -> a.time != b.time ? Long.compare(a.time, b.time) : Long.compare(a.sequence, b.sequence));
    private long now;
    private long scheduled;

    /** Creates a queue whose virtual time starts at a time in milliseconds. */
    public EventQueue(final long startTime) {
        now = startTime;
    }

    /** The current virtual time, in milliseconds. */
    public long now() {
        return now;
    }

    /** The number of tasks scheduled so far. */
    public long scheduled() {
        return scheduled;
    }

    /** Schedules a task; one whose time has passed runs after the tasks that are due now. */
    public void schedule(final long time, final Runnable task) {
        events.add(new Event(Math.max(now, time), scheduled++, task));
    }

    /** The time of the next task; {@code Long.MAX_VALUE} for none. */
    public long nextTime() {
        return events.isEmpty() ? Long.MAX_VALUE : events.peek().time;
    }

    /** Advances the time to that of the next task and runs it. */
    public void runNext() {
        final Event next = events.remove();
        now = next.time;
        next.task.run();
    }

    /** Runs all tasks due up to this time, inclusive, and advances the time to it. */
    public void runUntil(final long until) {
        while (nextTime() <= until) {
            runNext();
        }
        now = until;
    }
}
