/**
 * Generates the events of {@link gaugegw.simulator.DecisionDigestTest}: clients, backends and discovery around a few
 * proxies, which react to the replies of the simulator host. {@link gaugegw.simulator.workload.GeneratedWorkload} is
 * the entry; {@link gaugegw.simulator.workload.WorkloadScenario} holds the parameters.
 *
 * <p>The recorded digests hold only as long as the order of random draws, of scheduling and of output stays the same.
 * Everything runs on the thread of the host.
 */
package gaugegw.simulator.workload;
