package gaugegw.proxy.transport;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Runs a task on an event loop at regular intervals until the loop ends. The task continues after it has thrown an
 * exception; Netty would cancel it without a message, and time limits that it enforces would no longer apply.
 */
public final class PeriodicTask {
    private final Runnable task;
    private final Consumer<Throwable> failureHandler;

    private PeriodicTask(Runnable task, Consumer<Throwable> failureHandler) {
        this.task = task;
        this.failureHandler = failureHandler;
    }

    /**
     * Starts a task. May be called on any thread.
     *
     * @param intervalUs the time from the end of one run to the start of the next, in microseconds
     * @param failureHandler called on the event loop with what the task has thrown
     */
    public static void start(EventLoop loop, long intervalUs, Runnable task, Consumer<Throwable> failureHandler) {
        var periodic = new PeriodicTask(task, failureHandler);
        loop.scheduleWithFixedDelay(periodic::run, intervalUs, intervalUs, TimeUnit.MICROSECONDS);
    }

    private void run() {
        try {
            task.run();
        } catch (RuntimeException | Error e) {
            handle(e);
        }
    }

    private void handle(Throwable failure) {
        try {
            failureHandler.accept(failure);
        } catch (RuntimeException | Error e) {
            // Without memory even a log line may fail. The next run of the task is more important.
        }
    }
}
