package gaugegw.proxy.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** What is to happen at which time of a run. */
final class SoakEvents {
    /** Something that happens in a run. */
    interface Step {
        void run() throws IOException, InterruptedException;
    }

    private record Event(long atMs, Step step) {}

    private final List<Event> events = new ArrayList<>();

    /** Adds an event, at a time in milliseconds from the beginning of the run. */
    void add(long atMs, Step step) {
        events.add(new Event(atMs, step));
    }

    /** Plays the events before a time, each at its own time, and returns at that time. */
    void playUntil(long endMs, long beginNs) throws IOException, InterruptedException {
        events.sort(Comparator.comparingLong(Event::atMs));
        for (Event event : events) {
            if (event.atMs() >= endMs) {
                break;
            }
            sleepUntil(event.atMs(), beginNs);
            event.step().run();
        }
        sleepUntil(endMs, beginNs);
    }

    private static void sleepUntil(long atMs, long beginNs) throws InterruptedException {
        long delayMs = atMs - (System.nanoTime() - beginNs) / 1_000_000;
        if (delayMs > 0) {
            Thread.sleep(delayMs);
        }
    }
}
