/**
 * The lifecycle of a proxy process: its commands, start, warm-up, reload, graceful shutdown and end.
 *
 * <p>This package depends on all other packages of the proxy; only {@link gaugegw.Main} depends on it.
 *
 * <h2>Threads</h2>
 *
 * <ul>
 *   <li><b>The event loop</b> is the one thread that serves requests. All handlers, timers and decisions of a proxy run
 *       on it, and all lines of the proxy's log are written on it. The state of the other packages belongs to it,
 *       unless documented otherwise. It is a non-daemon thread of Netty, so it keeps the process alive once the main
 *       thread has returned.
 *   <li><b>The main thread</b> runs a command: it reads the configuration, runs the warm-up, installs the signal
 *       handlers, starts the proxy, and returns. It accesses the parts of a running proxy only through tasks that it
 *       submits to the event loop and through methods that may be called on any thread.
 *   <li><b>A signal thread</b> is created for each signal. At SIGHUP it reads the configuration, so that no file is
 *       read on the event loop, and passes the result to the event loop. At SIGTERM it calls {@code System.exit}, which
 *       waits for the shutdown hook.
 *   <li><b>The shutdown hook</b> drains the proxy: it schedules the steps of {@link
 *       gaugegw.proxy.lifecycle.GracefulShutdown} on the event loop, waits until no client is connected or the time is
 *       up, and halts the process.
 *   <li><b>The watcher of the configuration file</b> exists only if SIGHUP was ignored when the process started. It is
 *       a daemon thread that polls the file and passes what it reads to the event loop.
 * </ul>
 *
 * <p>The warm-up runs on a separate event loop, which has ended before the proxy is created.
 */
package gaugegw.proxy.lifecycle;
