package gaugegw.simulator.workload;

import java.util.PriorityQueue;

/** The simulated clock and the tasks that wait for it. Tasks due at the same time run in the order of scheduling. */
final class EventSchedule {
    private record Task(long dueUs, long sequence, Runnable action) implements Comparable<Task> {
        @Override
        public int compareTo(Task other) {
            int byTime = Long.compare(dueUs, other.dueUs);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }

    private final PriorityQueue<Task> tasks = new PriorityQueue<>();
    private final long startUs;
    private long nowUs;
    private long taskCount;

    EventSchedule(long startUs) {
        this.startUs = startUs;
        this.nowUs = startUs;
    }

    long nowUs() {
        return nowUs;
    }

    long elapsedUs() {
        return nowUs - startUs;
    }

    /** Runs a task when {@code delayUs} microseconds have passed; with no delay it still joins the current batch. */
    void scheduleAfter(long delayUs, Runnable action) {
        tasks.add(new Task(nowUs + delayUs, taskCount++, action));
    }

    boolean hasTaskUntil(long timeUs) {
        return !tasks.isEmpty() && tasks.element().dueUs() <= timeUs;
    }

    /** Advances the clock to the next task, but at least by {@code intervalUs}; there must be a task. */
    void advanceToNextTask(long intervalUs) {
        nowUs = Math.max(nowUs + intervalUs, tasks.element().dueUs());
    }

    /** Advances the clock to a whole number of intervals since the start. */
    void alignTo(long intervalUs) {
        nowUs += Math.floorMod(startUs - nowUs, intervalUs);
    }

    /** Runs all tasks that are due, including those that they schedule without a delay. */
    void runDueTasks() {
        while (hasTaskUntil(nowUs)) {
            tasks.remove().action().run();
        }
    }
}
