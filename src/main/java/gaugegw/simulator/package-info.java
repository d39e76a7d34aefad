/**
 * The program's side of the simulator: runs the load balancers of all simulated proxies in one process. It reads
 * batches of events from standard input, passes each event to the load balancer that it is addressed to, and writes one
 * reply per batch, which contains the resulting actions, to standard output.
 *
 * <p>The wire protocol between the simulator and this process is UTF-8 text. Each line is one message: a name, followed
 * by {@code name=value} fields, all separated by single spaces. A batch begins with a line that contains the current
 * time, has one or more lines per event, and ends with a closing line. A reply has one line per action and ends with a
 * closing line.
 *
 * <p>{@link gaugegw.simulator.SimulatorHost} owns the load balancers: it reads a batch, handles the events in the order
 * read, and then writes the reply. {@link gaugegw.simulator.EventDecoder} converts messages to settings and events,
 * {@link gaugegw.simulator.ActionEncoder} converts actions to messages, and {@link gaugegw.simulator.WireNames} holds
 * the names that both use. Everything runs on the thread that calls {@code run}. Within the program, the package
 * depends only on {@link gaugegw.balancer} and {@link gaugegw.settings}.
 */
package gaugegw.simulator;
