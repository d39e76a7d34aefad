package gaugegw.proxy.discovery;

import gaugegw.balancer.api.UpdateKind;
import java.util.List;

/** Is notified of each update of the endpoint list, on the event loop. */
public interface EndpointUpdateListener {
    /**
     * Called for each snapshot, delta, cached snapshot or failed poll, in the order in which they arrive.
     *
     * @param kind what the entries are
     * @param endpoints the entries; empty for {@link UpdateKind#POLL_FAILED}
     */
    void endpointsUpdated(UpdateKind kind, List<ListedEndpoint> endpoints);
}
