package gaugegw.proxy.discovery;

import com.fasterxml.jackson.databind.JsonNode;
import gaugegw.balancer.api.BalancerSettings;
import gaugegw.balancer.api.UpdateKind;
import gaugegw.proxy.logging.RateLimitedLog;
import gaugegw.proxy.transport.Transport;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.Promise;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * Keeps the proxy's endpoint list up to date by calls to discovery, one at a time. The first call of a watch returns at
 * once. Each later one is sent as soon as the previous one has a response, and discovery may hold it until there is an
 * update.
 *
 * <p>A failed call ends the watch. If discovery is a service, the listener is notified, and the load balancer decides
 * when to poll again, with exponential backoff. A local agent is called again after a short fixed delay, without a
 * notification.
 *
 * <p>All methods are called on the event loop, except for {@link #firstCallFuture} and {@link #hasLocalAgent}.
 */
public final class EndpointWatcher {
    /** Time within which the first call of a process to a service has a response or has failed, in milliseconds. */
    public static final long FIRST_SERVICE_CALL_TIMEOUT_MS = CallTiming.FIRST_SERVICE_CALL_TIMEOUT_MS;

    /**
     * Delay before the next call when a call that could be held has returned without an update, in milliseconds. If
     * discovery does not hold calls, this keeps the proxy from calling it as fast as the CPU allows. The delay is well
     * below 200 ms, the time within which the next call has to arrive for a watch to continue.
     */
    private static final long EMPTY_RESPONSE_DELAY_MS = 50;
    /** A hold is shortened by a random time, up to the longest hold divided by this number. */
    private static final long HOLD_JITTER_DIVISOR = 4;

    private final EventLoop loop;
    private final Transport transport;
    private final RateLimitedLog log;
    private final EndpointListParser parser;
    private final EndpointUpdateListener updateListener;
    private final DiscoveryCall.Listener callListener = new CallListener();
    private final boolean hasLocalAgent;
    private final CallTiming timing;
    private final SplittableRandom random;
    private final Promise<Void> firstCallPromise;
    private InetSocketAddress address;
    private boolean watching;
    /** Timeout of the next call, in milliseconds, counted from the end of its hold. */
    private long nextTimeoutMs;
    /**
     * The call in flight. In a watch, a call that has its response stays here until the next call is sent. Null if
     * there is none.
     */
    private DiscoveryCall call;

    /** The version of the list that the proxy has; empty if the next call has to fetch the complete list. */
    private OptionalLong version = OptionalLong.empty();

    /**
     * Creates a watcher that makes no calls yet. May be called on any thread.
     *
     * @param updateListener notified of each update and each failed poll
     * @param address the address of discovery, until {@link #changeAddress} is called
     */
    public EndpointWatcher(
            Transport transport,
            RateLimitedLog log,
            EndpointUpdateListener updateListener,
            InetSocketAddress address,
            BalancerSettings settings) {
        this.loop = transport.loop();
        this.firstCallPromise = loop.newPromise();
        this.transport = transport;
        this.log = log;
        this.parser = new EndpointListParser(log);
        this.updateListener = updateListener;
        this.address = address;
        this.random = new SplittableRandom(settings.seed());
        this.hasLocalAgent = !settings.limits().endpointUpdatesOnRequest();
        this.timing = CallTiming.of(settings, hasLocalAgent);
        this.nextTimeoutMs = timing.firstTimeoutMs();
    }

    /**
     * Returns a future that completes when the first call has ended, with a list or a failure. Until then the cached
     * list is the only one. May be called on any thread.
     */
    public Future<Void> firstCallFuture() {
        return firstCallPromise;
    }

    /**
     * Returns whether discovery is an agent on this machine. An agent responds at once, and a change has to be applied
     * from the moment at which the agent has it, even if the proxy has not called it yet. May be called on any thread.
     */
    public boolean hasLocalAgent() {
        return hasLocalAgent;
    }

    /**
     * Notifies the listener of the list that this proxy had before its restart, as the first update. If discovery is a
     * local agent, also starts the watch.
     *
     * @param list the list in discovery's format; a missing node if there is none
     */
    public void loadCachedEndpoints(JsonNode list) {
        assert loop.inEventLoop();
        CachedEndpointList cached = parser.parseCached(list);
        version = cached.version();
        updateListener.endpointsUpdated(UpdateKind.CACHED, cached.endpoints());
        if (hasLocalAgent) {
            watch(true);
        }
    }

    /** Starts or ends the watch. If a call is in flight when the watch starts, the watch continues from that call. */
    public void watch(boolean enabled) {
        assert loop.inEventLoop();
        watching = enabled;
        if (!enabled) {
            cancelCall();
        } else if (call == null) {
            callWithoutHold();
        }
    }

    /**
     * Calls discovery at another address from now on. The current endpoints stay in use until the new address has sent
     * its complete list. A delta would not do, because its versions may differ from those of the old address.
     */
    public void changeAddress(InetSocketAddress newAddress) {
        assert loop.inEventLoop();
        if (newAddress.equals(address)) {
            return;
        }
        address = newAddress;
        version = OptionalLong.empty();
        boolean callWanted = watching || call != null;
        cancelCall();
        if (callWanted) {
            callWithoutHold();
        }
    }

    /**
     * Fetches the complete list. Cancels a call in flight: with two calls at once, an older update could arrive after a
     * newer one. A watch continues from the list that is fetched.
     */
    public void fetch() {
        assert loop.inEventLoop();
        cancelCall();
        version = OptionalLong.empty();
        callWithoutHold();
    }

    private void cancelCall() {
        if (call != null) {
            call.cancel();
            call = null;
        }
    }

    /**
     * Sends a call that returns at once, with the updates since the proxy's version or, if it has no version, with the
     * complete list.
     */
    private void callWithoutHold() {
        call(0);
    }

    private void call(long holdMs) {
        var query = new DiscoveryQuery(version, holdMs, nextTimeoutMs);
        nextTimeoutMs = timing.timeoutMs();
        call = new DiscoveryCall(transport, parser, address, query, callListener);
        call.start();
    }

    private void listReceived(DiscoveryCall endedCall, EndpointList list) {
        boolean hasUpdate = !isCurrent(list.version()) && !list.endpoints().isEmpty();
        version = OptionalLong.of(list.version());
        if (!watching) {
            call = null;
        } else if (!endedCall.query().mayBeHeld() || hasUpdate) {
            // Before the listener is notified, which takes time: a watch continues only if its next call arrives within
            // 200 ms of the last response.
            continueWatch(endedCall);
        } else {
            loop.schedule(() -> continueWatch(endedCall), EMPTY_RESPONSE_DELAY_MS, TimeUnit.MILLISECONDS);
        }
        updateListener.endpointsUpdated(list.full() ? UpdateKind.SNAPSHOT : UpdateKind.DELTA, list.endpoints());
        firstCallPromise.trySuccess(null);
    }

    private boolean isCurrent(long listVersion) {
        return version.isPresent() && version.getAsLong() == listVersion;
    }

    private void continueWatch(DiscoveryCall endedCall) {
        // The watch may have ended since, or have sent another call to fetch a list or after a change of the address.
        if (call == endedCall) {
            call(jitteredHoldMs());
        }
    }

    /**
     * Returns the longest hold, shortened by a random time so that proxies that start together do not call discovery at
     * the same moments.
     */
    private long jitteredHoldMs() {
        return timing.holdMs() - random.nextLong(timing.holdMs() / HOLD_JITTER_DIVISOR + 1);
    }

    private void callFailed(DiscoveryFailure failure) {
        log.write("discovery: call to " + address + " failed: " + failure.description()
                + "; the current endpoint list stays in use");
        call = null;
        firstCallPromise.trySuccess(null);
        if (hasLocalAgent) {
            loop.schedule(this::retryAgent, CallTiming.AGENT_RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
        } else {
            updateListener.endpointsUpdated(UpdateKind.POLL_FAILED, List.of());
        }
    }

    private void retryAgent() {
        if (watching) {
            watch(true);
        }
    }

    private final class CallListener implements DiscoveryCall.Listener {
        @Override
        public void succeeded(DiscoveryCall endedCall, EndpointList list) {
            assert loop.inEventLoop();
            if (endedCall.query().accepts(list)) {
                listReceived(endedCall, list);
            } else {
                // If this delta were applied, removed endpoints could stay in use. Only a complete list is safe.
                version = OptionalLong.empty();
                callFailed(new DiscoveryFailure.InapplicableDelta(list.version()));
            }
        }

        @Override
        public void failed(DiscoveryCall endedCall, DiscoveryFailure failure) {
            assert loop.inEventLoop();
            callFailed(failure);
        }
    }
}
