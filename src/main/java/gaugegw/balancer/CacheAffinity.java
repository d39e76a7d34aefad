package gaugegw.balancer;

import java.util.Comparator;

/**
 * Finds the endpoint that probably has the data for an affinity key in its cache, by rendezvous hashing. All proxies
 * find the same endpoint without communicating, and a change of the endpoint list affects only the keys of the
 * endpoints that are added or removed.
 */
final class CacheAffinity {
    private final EndpointMembership membership;

    CacheAffinity(EndpointMembership membership) {
        this.membership = membership;
    }

    /**
     * Returns the endpoint for an affinity key, or null if there is no key or no ready endpoint.
     *
     * @param key the affinity key, or null
     */
    EndpointRecord endpointFor(String key) {
        if (key == null) {
            return null;
        }
        int keyHash = key.hashCode();
        return membership.readyEndpoints().stream()
                .max(Comparator.comparingInt(
                        endpoint -> HashMixer.mix(keyHash ^ endpoint.id().hashCode())))
                .orElse(null);
    }
}
