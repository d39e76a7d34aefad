/**
 * Hosts load balancers for the simulator: reads batches of events from standard input and writes one reply per batch to
 * standard output.
 *
 * <p>{@link gaugegw.simulator.SimulatorHost} owns the instances and the order of reading, handling and replying.
 * {@link gaugegw.simulator.EventDecoder} and {@link gaugegw.simulator.ActionEncoder} translate between lines and the
 * types of {@code gaugegw.balancer.api}; {@link gaugegw.simulator.WireNames} holds the names that both sides share. All
 * of it runs on the one thread that calls {@code run}. The package depends on the balancer and the settings alone.
 */
package gaugegw.simulator;
