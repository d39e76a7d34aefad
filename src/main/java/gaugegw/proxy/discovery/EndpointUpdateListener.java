package gaugegw.proxy.discovery;

import gaugegw.balancer.api.UpdateKind;
import java.util.List;

/** Notified of updates of the endpoint list, on the event loop. */
public interface EndpointUpdateListener {
    /**
     * Called for the cached list, each snapshot, each delta and each failed call to a discovery service, in order of
     * arrival. Not called for a failed call to a local agent.
     *
     * @param kind whether the entries are a complete list or only changes, or that a call has failed
     * @param endpoints the entries; empty for {@link UpdateKind#POLL_FAILED}
     */
    void endpointsUpdated(UpdateKind kind, List<ListedEndpoint> endpoints);
}
