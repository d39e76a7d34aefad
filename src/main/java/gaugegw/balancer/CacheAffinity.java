package gaugegw.balancer;

import java.util.Comparator;

/**
 * Finds the endpoint that likely has the data of an affinity key cached, by rendezvous hashing: all proxies find the
 * same one without messages, and a change of the endpoint list moves only the keys of the endpoints that come or go.
 */
final class CacheAffinity {
    private final EndpointMembership membership;

    CacheAffinity(EndpointMembership membership) {
        this.membership = membership;
    }

    /**
     * Returns the endpoint, or null without a key or without a ready endpoint.
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
