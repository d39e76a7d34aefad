package gaugegw.proxy.discovery;

import gaugegw.balancer.api.UpdateKind;
import java.util.List;

/** Notified of each update of the endpoint list, on the event loop. */
public interface EndpointUpdateListener {
    /**
     * Called for each snapshot, each delta, the cached snapshot and each failed poll, in order of arrival.
     *
     * @param kind what the entries are
     * @param endpoints the entries; empty for {@link UpdateKind#POLL_FAILED}
     */
    void endpointsUpdated(UpdateKind kind, List<ListedEndpoint> endpoints);
}
