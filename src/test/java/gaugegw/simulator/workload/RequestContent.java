package gaugegw.simulator.workload;

import java.util.Optional;

/**
 * What a client wants: the same in each of its retries.
 *
 * @param requestClass class of the request
 * @param tenant tenant that it is counted for
 * @param affinityKey key by which requests share cached data on a backend
 * @param workUs service time on an idle backend of speed 1
 */
record RequestContent(RequestClass requestClass, Optional<String> tenant, Optional<String> affinityKey, long workUs) {}
