/**
 * The lifecycle of one proxy process: its commands, start, warm-up, reload, graceful shutdown and end.
 *
 * <p>Depends on all other packages of the proxy; only {@link gaugegw.Main} depends on it.
 *
 * <h2>Threads</h2>
 *
 * <ul>
 *   <li><b>The event loop</b> is the one thread that serves: every handler, timer and decision of a proxy runs on it,
 *       and so does all that writes to the proxy's log. State of the other packages that is not said to be shared belongs to
 *       it. It is a thread of Netty's and not a daemon: it keeps the process alive once the main thread has returned.
 *   <li><b>The main thread</b> runs a command: it reads the configuration, warms up, installs the signal handlers,
 *       starts the proxy, and returns. It reaches the parts of a running proxy by tasks for the event loop only.
 *   <li><b>A signal thread</b>, a new one for each signal, reads the configuration at SIGHUP, so that no file is read
 *       on the event loop, and hands the result to the event loop. At SIGTERM it calls {@code System.exit}, which
 *       waits for the shutdown hook.
 *   <li><b>The shutdown hook</b> drains: it schedules the steps of {@link gaugegw.proxy.lifecycle.GracefulShutdown} on
 *       the event loop, waits until no client is connected or the time is up, and halts the process.
 *   <li><b>The configuration file's watcher</b> exists only where SIGHUP is inherited as ignored: a daemon that polls
 *       the file and hands what it reads to the event loop.
 * </ul>
 *
 * <p>The warm-up has an event loop of its own, which has ended before the proxy is assembled.
 */
package gaugegw.proxy.lifecycle;
