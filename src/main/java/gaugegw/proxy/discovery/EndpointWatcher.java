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
 * Watches discovery's endpoint list by a sequence of calls, never two at once: the first returns at once, and each further
 * one is sent as soon as the one before it has a response, and may be held by discovery until there is an update.
 *
 * <p>When a call fails the watch has ended. The listener is notified, and the load balancer decides when to poll again, with
 * a growing backoff. A local agent is called again after a short fixed delay, without a notice.
 *
 * <p>All methods are called on the event loop, except for {@link #firstCallFuture} and {@link #hasLocalAgent}.
 */
public final class EndpointWatcher {
    /** Time within which the first call of a process to a service has a response or has failed, in milliseconds. */
    public static final long FIRST_SERVICE_CALL_TIMEOUT_MS = CallTiming.FIRST_SERVICE_CALL_TIMEOUT_MS;

    /**
     * Delay after a held call that returned without an update, in milliseconds: guards against a discovery that does not
     * hold calls, which would be called as fast as the CPU allows. A watch continues if its next call arrives within 200 ms.
     */
    private static final long EMPTY_RESPONSE_DELAY_MS = 50;
    /** A hold is shorter than the longest one by up to this part of it. */
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
    /** Time beyond its hold after which the next call has failed, in milliseconds. */
    private long nextTimeoutMs;
    /**
     * The call in flight, or the one that has just had a response while the next call of its watch is yet to be sent; null
     * where there is neither.
     */
    private DiscoveryCall call;

    /** The version of the cached list; empty: the next call fetches the complete list. */
    private OptionalLong version = OptionalLong.empty();

    /**
     * Creates a watcher that makes no call yet; may be called on any thread.
     *
     * @param updateListener notified of each update and each failed poll
     * @param address where discovery is called until {@link #changeAddress}
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
     * Returns a future that completes when the first call has ended, by a list or a failure. Until then there is no list
     * but that of before the restart. May be used on any thread.
     */
    public Future<Void> firstCallFuture() {
        return firstCallPromise;
    }

    /**
     * Returns whether discovery is an agent on this machine. It answers at once, and what it has must be in force before it
     * is called.
     */
    public boolean hasLocalAgent() {
        return hasLocalAgent;
    }

    /**
     * Notifies the listener of the list that this proxy had before its restart, as the first update. A local agent is
     * watched from then on.
     *
     * @param list the list in discovery's form; a missing node where there is none
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

    /** Starts the watch, or ends it. One that is under way is left alone. */
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
     * Calls discovery at another address from now on. The cached endpoints stay in force until the new address has sent its
     * complete list; a delta would not do, as its versions need not be those of the old address.
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
     * Fetches the complete list. A call in flight is cancelled: of two at once, an older update could arrive after a newer
     * one. A watch continues from the list that is fetched.
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

    /** Sends a call that returns at once, with what was missed or with an empty update. */
    private void callWithoutHold() {
        call(0);
    }

    private void call(long holdMs) {
        var query = new DiscoveryQuery(version, holdMs, nextTimeoutMs);
        nextTimeoutMs = timing.timeoutMs();
        call = new DiscoveryCall(transport, parser, address, query, callListener);
        call.start();
    }

    private void listReceived(DiscoveryCall ended, EndpointList list) {
        boolean hasUpdate = !isCached(list.version()) && !list.endpoints().isEmpty();
        version = OptionalLong.of(list.version());
        if (!watching) {
            call = null;
        } else if (!ended.query().mayBeHeld() || hasUpdate) {
            // Before the listener is notified, which takes time: the watch ends 200 ms after its last response.
            continueWatch(ended);
        } else {
            loop.schedule(() -> continueWatch(ended), EMPTY_RESPONSE_DELAY_MS, TimeUnit.MILLISECONDS);
        }
        updateListener.endpointsUpdated(list.full() ? UpdateKind.SNAPSHOT : UpdateKind.DELTA, list.endpoints());
        firstCallPromise.trySuccess(null);
    }

    private boolean isCached(long listVersion) {
        return version.isPresent() && version.getAsLong() == listVersion;
    }

    private void continueWatch(DiscoveryCall ended) {
        // Unless the watch was ended or moved since.
        if (call == ended) {
            call(jitteredHoldMs());
        }
    }

    /** Returns the longest hold less a random part of it, so that proxies which start together do not call in step. */
    private long jitteredHoldMs() {
        return timing.holdMs() - random.nextLong(timing.holdMs() / HOLD_JITTER_DIVISOR + 1);
    }

    private void callFailed(DiscoveryFailure failure) {
        log.write("discovery: " + failure.description());
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
        public void succeeded(DiscoveryCall ended, EndpointList list) {
            assert loop.inEventLoop();
            if (ended.query().accepts(list)) {
                listReceived(ended, list);
            } else {
                // Applied all the same it would leave endpoints in force that are gone: only a complete list is safe.
                version = OptionalLong.empty();
                callFailed(new DiscoveryFailure.VersionGap(list.version()));
            }
        }

        @Override
        public void failed(DiscoveryCall ended, DiscoveryFailure failure) {
            assert loop.inEventLoop();
            callFailed(failure);
        }
    }
}
