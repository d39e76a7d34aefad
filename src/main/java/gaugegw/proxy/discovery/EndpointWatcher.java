package gaugegw.proxy.discovery;

import com.fasterxml.jackson.databind.JsonNode;
import gaugegw.balancer.DiscoveryBackoff;
import gaugegw.balancer.api.BalancerSettings;
import gaugegw.balancer.api.UpdateKind;
import gaugegw.proxy.logging.RateLimitedLog;
import gaugegw.proxy.transport.Transport;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.Promise;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * The watch on discovery's list of backends: a row of calls, each sent as soon as the last is answered, and never two at
 * once. When one fails the watch is over, the module is told, and it is the module that asks again, later each time. An
 * agent on the proxy's own machine is asked again without the module.
 */
public final class EndpointWatcher implements DiscoveryCall.Listener {
    /**
     * Time beyond its wait after which a call to a service has failed, in milliseconds. What it has to tell counts as told
     * 2 s after the wait (protocol page), and binds 1 s later: a call that is made anew may fail once within that.
     */
    private static final long SERVICE_TIMEOUT_MS = TimeUnit.MICROSECONDS.toMillis(DiscoveryBackoff.CALL_TIMEOUT_US);
    /**
     * The same for an agent, which answers at once (protocol page). What it hears after a silence of its own counts as
     * told right then (standing page) and binds 1 s later: two calls that fail, and the delays after them, take that long.
     */
    private static final long AGENT_TIMEOUT_MS = 450;
    /** Delay between a failed call to an agent and the next, in milliseconds. */
    private static final long AGENT_RETRY_DELAY_MS = 50;
    /** {@link #SERVICE_TIMEOUT_MS} for the first call of a process: the code that it runs is yet to be loaded. */
    public static final long FIRST_SERVICE_TIMEOUT_MS = 2_000;
    /** {@link #AGENT_TIMEOUT_MS} for the first call of a process. */
    private static final long FIRST_AGENT_TIMEOUT_MS = 600;

    /** The protocol page: the longest time that a call may wait, in milliseconds. */
    private static final long MAX_HOLD_MS = 60_000;

    private static final long MIN_HOLD_MS = 1_500;
    /** Each empty answer is work for a service that all proxies share: so many milliseconds for each of them. */
    private static final long HOLD_PER_PROXY_MS = 500;

    private static final long NO_NEWS_DELAY_MS = 50;

    private final EventLoop loop;
    private final Transport transport;
    private final RateLimitedLog log;
    private final EndpointUpdateListener updateListener;
    private final boolean hasLocalAgent;
    private final long holdMs;
    private final long firstTimeoutMs;
    private final long timeoutMs;
    private final SplittableRandom random;
    private final Promise<Void> firstCallEnded;
    private InetSocketAddress address;
    private boolean firstCallMade;
    private boolean watching;
    /** The call that is out, or the one that was answered last while the next of its watch is yet to be sent. */
    private DiscoveryCall call;

    private long version = EndpointList.NO_VERSION;

    public EndpointWatcher(
            Transport transport,
            RateLimitedLog log,
            EndpointUpdateListener updateListener,
            InetSocketAddress address,
            BalancerSettings settings) {
        this.loop = transport.loop();
        this.firstCallEnded = loop.newPromise();
        this.transport = transport;
        this.log = log;
        this.updateListener = updateListener;
        this.address = address;
        this.random = new SplittableRandom(settings.seed());
        this.hasLocalAgent = !settings.limits().endpointsArePolled();
        this.firstTimeoutMs = hasLocalAgent ? FIRST_AGENT_TIMEOUT_MS : FIRST_SERVICE_TIMEOUT_MS;
        this.timeoutMs = hasLocalAgent ? AGENT_TIMEOUT_MS : SERVICE_TIMEOUT_MS;
        // A call whose other end has vanished looks like one that waits: until its answer is overdue no news comes.
        // Never more than twice the time within which a proxy has to ask.
        long share = hasLocalAgent ? MIN_HOLD_MS : Math.max(MIN_HOLD_MS, HOLD_PER_PROXY_MS * settings.proxyCount());
        this.holdMs = Math.min(
                Math.min(MAX_HOLD_MS, share), 2 * settings.safetyLimits().pollIntervalUs() / 1_000);
    }

    /** Ends when a first call has: until then the list is as old as the last life of this proxy. */
    public Future<Void> firstCallEnded() {
        return firstCallEnded;
    }

    /** Returns whether there is an agent, which answers at once; what it has counts as told before it is asked. */
    public boolean hasLocalAgent() {
        return hasLocalAgent;
    }

    /** Takes in the list that this proxy had in its last life, if any; the module begins with this. */
    public void loadCachedEndpoints(JsonNode list) {
        EndpointList cached = EndpointList.cached(list, log);
        version = cached.version();
        updateListener.endpointsUpdated(UpdateKind.CACHED, cached.endpoints());
        if (hasLocalAgent) {
            watch(true);
        }
    }

    /** Begins the watch, or ends it. One that goes on already is left alone. */
    public void watch(boolean on) {
        watching = on;
        if (!on) {
            cancelCall();
        } else if (call == null) {
            callAtOnce();
        }
    }

    /**
     * Asks at another address from now on. The backends that are known stay until it has told its own list: the whole
     * of it, as its versions need not count what those of the old address did.
     */
    public void moveTo(InetSocketAddress to) {
        if (to.equals(address)) {
            return;
        }
        address = to;
        version = EndpointList.NO_VERSION;
        boolean asking = watching || call != null;
        cancelCall();
        if (asking) {
            callAtOnce();
        }
    }

    /** Asks for the whole list. A watch goes on from there: two calls at once could tell old news after new. */
    public void fetch() {
        cancelCall();
        version = EndpointList.NO_VERSION;
        callAtOnce();
    }

    private void cancelCall() {
        if (call != null) {
            call.cancel();
            call = null;
        }
    }

    /** Sends a call that does not wait: what was missed comes at once, or the news that there is none. */
    private void callAtOnce() {
        call(0);
    }

    private void call(long waitMs) {
        var query = new DiscoveryCall.Query(version, waitMs, firstCallMade ? timeoutMs : firstTimeoutMs);
        firstCallMade = true;
        call = new DiscoveryCall(transport, log, address, query, this);
        call.start();
    }

    @Override
    public void answered(DiscoveryCall answered, EndpointList list) {
        if (!answered.query().isAnsweredBy(list)) {
            // Discovery began anew, or something is missing in between: only the whole list is sure.
            version = EndpointList.NO_VERSION;
            failed(answered, "changes up to version " + list.version() + " do not follow on this proxy's list");
            return;
        }
        boolean news = list.version() != version && !list.endpoints().isEmpty();
        version = list.version();
        if (!watching) {
            call = null;
        } else if (answered.query().holdMs() == 0 || news) {
            // Before the news is taken in: a watch is over 200 ms after its last answer.
            continueWatch(answered);
        } else {
            // One that answers at once without any news would be asked as fast as the CPU allows.
            loop.schedule(() -> continueWatch(answered), NO_NEWS_DELAY_MS, TimeUnit.MILLISECONDS);
        }
        updateListener.endpointsUpdated(list.full() ? UpdateKind.SNAPSHOT : UpdateKind.DELTA, list.endpoints());
        firstCallEnded.trySuccess(null);
    }

    private void continueWatch(DiscoveryCall answered) {
        if (call == answered) {
            // Not in step with the other proxies, which all start together.
            call(holdMs - random.nextLong(holdMs / 4 + 1));
        }
    }

    /** Where the module has to ask, it decides when to ask again; an agent on the same machine is simply kept up. */
    @Override
    public void failed(DiscoveryCall failed, String reason) {
        log.line("discovery: " + reason);
        call = null;
        firstCallEnded.trySuccess(null);
        if (hasLocalAgent) {
            loop.schedule(this::retryAgent, AGENT_RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
        } else {
            updateListener.endpointsUpdated(UpdateKind.POLL_FAILED, List.of());
        }
    }

    private void retryAgent() {
        if (watching) {
            watch(true);
        }
    }
}
