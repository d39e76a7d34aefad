package gaugegw.proxy.upstream;

import gaugegw.balancer.api.EndpointState;
import gaugegw.balancer.api.UpdateKind;
import gaugegw.proxy.discovery.ListedEndpoint;
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
 * Sends attempts to the backends that discovery lists, over pooled connections that carry one attempt at a time. It
 * never retries: each attempt is one that the caller has started. All methods are called on the event loop.
 */
public final class UpstreamClient {
    /**
     * The part of a backend's idle time-out after which this side closes a connection. Well below all of it, as a request
     * that crosses the backend's close is reset and may have been executed.
     */
    private static final int IDLE_TIMEOUT_PERCENT = 60;

    private final UpstreamContext context;
    /** By endpoint id. An endpoint that is no longer ready stays until its attempts have ended. */
    private final Map<String, UpstreamEndpoint> endpoints = new HashMap<>();

    /**
     * Creates a client without endpoints.
     *
     * @param backendIdleTimeoutUs the idle time after which a backend may close a connection, in microseconds
     * @param connectTimeoutUs the longest time that a connect may take, in microseconds
     */
    public UpstreamClient(
            Clock clock,
            Transport transport,
            ConnectionLimiter limiter,
            long backendIdleTimeoutUs,
            long connectTimeoutUs) {
        long idleTimeoutUs = backendIdleTimeoutUs * IDLE_TIMEOUT_PERCENT / 100;
        int connectTimeoutMs = (int) Math.max(1, TimeUnit.MICROSECONDS.toMillis(connectTimeoutUs));
        Bootstrap bootstrap =
                transport.clientBootstrap().clone().option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMs);
        context = new UpstreamContext(clock, transport, limiter, bootstrap, idleTimeoutUs, new LearnedIdleLimit());
    }

    /** Returns whether at least one endpoint takes new attempts. */
    public boolean hasReadyEndpoint() {
        return endpoints.values().stream().anyMatch(UpstreamEndpoint::isReady);
    }

    /**
     * Applies an update of the endpoint list. Idle connections to endpoints that are no longer ready are closed.
     *
     * @param kind what the entries are; never {@link UpdateKind#POLL_FAILED}, whose empty list would remove all endpoints
     * @return the attempts of such endpoints whose request has not been written completely. The caller aborts them, or
     *     they would begin at a backend that is to complete its work only
     */
    public List<UpstreamAttempt> applyUpdate(UpdateKind kind, List<ListedEndpoint> listed) {
        assert context.loop().inEventLoop();
        var unwritten = new ArrayList<UpstreamAttempt>();
        for (ListedEndpoint entry : listed) {
            endpointAt(entry, unwritten).setReady(entry.endpoint().state() == EndpointState.READY);
        }
        if (kind != UpdateKind.DELTA) {
            retainListed(listed);
        }
        removeUnready(unwritten);
        return unwritten;
    }

    /** Returns the endpoint of an entry; one whose address has changed is replaced and takes no new attempts. */
    private UpstreamEndpoint endpointAt(ListedEndpoint entry, List<UpstreamAttempt> unwritten) {
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

    /** A complete list names all endpoints that there are: the others take no new attempts. */
    private void retainListed(List<ListedEndpoint> listed) {
        Set<String> listedIds = new HashSet<>();
        listed.forEach(entry -> listedIds.add(entry.endpoint().id()));
        endpoints.forEach((id, endpoint) -> {
            if (!listedIds.contains(id)) {
                endpoint.setReady(false);
            }
        });
    }

    private void removeUnready(List<UpstreamAttempt> unwritten) {
        endpoints.values().removeIf(endpoint -> {
            if (endpoint.isReady()) {
                return false;
            }
            endpoint.pool().closeIdle();
            unwritten.addAll(endpoint.unwrittenAttempts());
            return !endpoint.hasAttempts();
        });
    }

    /** Closes the idle connections to an endpoint; does nothing if there is no such endpoint. */
    public void closeIdleConnections(String endpointId) {
        assert context.loop().inEventLoop();
        UpstreamEndpoint endpoint = endpoints.get(endpointId);
        if (endpoint != null) {
            endpoint.pool().closeIdle();
        }
    }

    /**
     * Creates an attempt, which the caller starts in the same turn of the event loop.
     *
     * @param timeoutUs the time that the attempt may take from its start to its response, in microseconds
     * @param beforeWrite runs once the attempt has its connection, right before the request is written; it may abort
     *     the attempt
     * @param listener called once, when the attempt has ended
     * @return the attempt; null if the endpoint takes none or no connection may be opened to it
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
        if (!endpoint.pool().reserveIdle() && !context.limiter().tryAdmitBackend()) {
            return null;
        }
        return new UpstreamAttempt(context, endpoint, request, timeoutUs, beforeWrite, listener);
    }
}
