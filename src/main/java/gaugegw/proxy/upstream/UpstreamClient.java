package gaugegw.proxy.upstream;

import gaugegw.balancer.api.EndpointState;
import gaugegw.balancer.api.UpdateKind;
import gaugegw.proxy.discovery.ListedEndpoint;
import gaugegw.proxy.memory.MemoryLimiter;
import gaugegw.proxy.transport.Clock;
import gaugegw.proxy.transport.ConnectionLimiter;
import gaugegw.proxy.transport.Transport;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelOption;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Sends attempts to the backends that discovery lists, over pooled connections that carry one attempt at a time. Never
 * retries on its own: the caller creates and starts each attempt. All methods are called on the event loop.
 */
public final class UpstreamClient {
    /**
     * The proxy closes a connection that has been idle for this percentage of the backend's idle timeout. It must do so
     * well before the backend does: a request that is sent while the backend closes the connection is reset, and the
     * proxy can't tell whether it was executed.
     */
    private static final int IDLE_TIMEOUT_PERCENT = 60;

    private final UpstreamContext context;
    /**
     * The endpoints by id. An endpoint that is no longer ready is removed by the first update at which it has no
     * attempts in flight; one whose address has changed is replaced at once.
     */
    private final Map<String, UpstreamEndpoint> endpoints = new HashMap<>();

    /**
     * Creates a client without endpoints.
     *
     * @param backendIdleTimeoutUs the idle time after which a backend may close a connection, in microseconds
     * @param connectTimeoutUs the maximum duration of a connect, in microseconds
     */
    public UpstreamClient(
            Clock clock,
            Transport transport,
            ConnectionLimiter limiter,
            MemoryLimiter memory,
            long backendIdleTimeoutUs,
            long connectTimeoutUs) {
        long idleTimeoutUs = backendIdleTimeoutUs * IDLE_TIMEOUT_PERCENT / 100;
        int connectTimeoutMs = (int) Math.max(1, TimeUnit.MICROSECONDS.toMillis(connectTimeoutUs));
        Bootstrap bootstrap =
                transport.clientBootstrap().clone().option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMs);
        context = new UpstreamContext(
                clock, transport, limiter, memory, bootstrap, idleTimeoutUs, new LearnedIdleLimit());
    }

    /** Returns whether at least one endpoint accepts new attempts. */
    public boolean hasReadyEndpoint() {
        return endpoints.values().stream().anyMatch(UpstreamEndpoint::isReady);
    }

    /**
     * Applies an update of the endpoint list and closes the idle connections to endpoints that are no longer ready.
     *
     * @param kind whether the list is complete or holds only changes; must not be {@link UpdateKind#POLL_FAILED}, whose
     *     empty list would remove all endpoints
     * @return the attempts whose request has not been written completely and whose endpoint is no longer ready or has
     *     another address now. The caller must abort them: a draining backend only completes the requests that it has
     *     already received
     */
    public List<UpstreamAttempt> applyUpdate(UpdateKind kind, List<ListedEndpoint> listed) {
        assert context.loop().inEventLoop();
        var unwritten = new ArrayList<UpstreamAttempt>();
        for (ListedEndpoint entry : listed) {
            endpointFor(entry, unwritten).setReady(entry.endpoint().state() == EndpointState.READY);
        }
        if (kind != UpdateKind.DELTA) {
            markUnlistedNotReady(listed);
        }
        removeNotReady(unwritten);
        return unwritten;
    }

    /**
     * Returns the endpoint for an entry of the list and creates it if it is new. If its address has changed, a new
     * endpoint replaces the old one: the old one accepts no new attempts, its idle connections are closed, and its
     * unwritten attempts are added to the list.
     */
    private UpstreamEndpoint endpointFor(ListedEndpoint entry, List<UpstreamAttempt> unwritten) {
        String id = entry.endpoint().id();
        UpstreamEndpoint known = endpoints.get(id);
        if (known != null && known.address().equals(entry.address())) {
            return known;
        }
        if (known != null) {
            known.setReady(false);
            known.pool().closeIdle();
            unwritten.addAll(known.unwrittenAttempts());
        }
        var added = new UpstreamEndpoint(context, entry.address());
        endpoints.put(id, added);
        return added;
    }

    /** Marks the endpoints that a complete list doesn't contain as not ready: they no longer exist. */
    private void markUnlistedNotReady(List<ListedEndpoint> listed) {
        Set<String> listedIds = new HashSet<>();
        listed.forEach(entry -> listedIds.add(entry.endpoint().id()));
        endpoints.forEach((id, endpoint) -> {
            if (!listedIds.contains(id)) {
                endpoint.setReady(false);
            }
        });
    }

    /**
     * Closes the idle connections to endpoints that are not ready, adds their unwritten attempts to the list, and
     * removes the endpoints without attempts in flight.
     */
    private void removeNotReady(List<UpstreamAttempt> unwritten) {
        endpoints.values().removeIf(endpoint -> {
            if (endpoint.isReady()) {
                return false;
            }
            endpoint.pool().closeIdle();
            unwritten.addAll(endpoint.unwrittenAttempts());
            return !endpoint.hasAttempts();
        });
    }

    /** Closes the idle connections to an endpoint; does nothing if the endpoint is unknown. */
    public void closeIdleConnections(String endpointId) {
        assert context.loop().inEventLoop();
        UpstreamEndpoint endpoint = endpoints.get(endpointId);
        if (endpoint != null) {
            endpoint.pool().closeIdle();
        }
    }

    /**
     * Creates an attempt. The caller must start it in the same task of the event loop, as a connection may have been
     * reserved for it.
     *
     * @param timeoutUs the maximum time from the start of the attempt to its response, in microseconds
     * @param beforeWrite called when the attempt has acquired its connection, immediately before the request is
     *     written; may abort the attempt
     * @param listener called once, when the attempt has ended
     * @return the attempt, or null if the endpoint is unknown or not ready, or if no connection to it may be opened
     */
    public UpstreamAttempt newAttempt(
            String endpointId,
            UpstreamRequest request,
            long timeoutUs,
            Runnable beforeWrite,
            AttemptListener listener) {
        assert context.loop().inEventLoop();
        UpstreamEndpoint endpoint = endpoints.get(endpointId);
        if (endpoint == null || !endpoint.isReady()) {
            return null;
        }
        if (!endpoint.pool().prepareAcquire()) {
            return null;
        }
        return new UpstreamAttempt(context, endpoint, request, timeoutUs, beforeWrite, listener);
    }
}
