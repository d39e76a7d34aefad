package gaugegw.balancer;

import static gaugegw.balancer.testing.TestEndpoints.endpoint;
import static gaugegw.balancer.testing.TestSettings.MILLIS;
import static gaugegw.balancer.testing.TestSettings.PAY;
import static gaugegw.balancer.testing.TestSettings.READ;
import static gaugegw.balancer.testing.TestSettings.SECONDS;
import static gaugegw.balancer.testing.TestSettings.minimalSettings;
import static org.assertj.core.api.Assertions.assertThat;

import gaugegw.balancer.api.Action.Fail;
import gaugegw.balancer.api.Action.Reject;
import gaugegw.balancer.api.AttemptOutcome;
import gaugegw.balancer.api.Event.RequestArrived;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import org.junit.jupiter.api.Test;

/** The order in which queued requests are started, and which of them are rejected and when. */
class AdmissionQueueTest {
    private final LoadBalancerDriver driver = new LoadBalancerDriver();

    /**
     * A burst of requests exceeds what two idle endpoints can serve. If all of it were queued, every request would wait
     * past its deadline. A few requests are started, a few are queued, and the rest are rejected at once.
     */
    @Test
    void queuesUpToItsBoundAndRejectsTheRestAtOnce() {
        driver.snapshot(endpoint("a"), endpoint("b"));
        for (int i = 0; i < 100; i++) {
            driver.submit(READ);
        }
        long started = driver.startedAttempts();
        long rejected = driver.actions.stream().filter(a -> a instanceof Reject).count();
        assertThat(started).isBetween(2L, 10L);
        assertThat(rejected).isBetween(80L, 96L);
        assertThat(started + rejected).isLessThan(100);
    }

    /**
     * Two requests wait. Capacity that becomes free goes to the one with the higher priority weight, although it
     * arrived later.
     */
    @Test
    void highestPriorityWeightIsStartedFirst() {
        driver.snapshot(endpoint("a"));
        var inFlight = new ArrayList<String>();
        for (int i = 0; i < 3; i++) {
            inFlight.add(driver.submit(READ));
        }
        String read = driver.submit(READ);
        String pay = driver.submit(PAY);
        assertThat(driver.attemptCount(read) + driver.attemptCount(pay)).isZero();
        driver.endAttempt(inFlight.get(0), AttemptOutcome.SUCCESS, 30 * MILLIS);
        assertThat(driver.attemptCount(pay)).isEqualTo(1);
        assertThat(driver.attemptCount(read)).isZero();
    }

    /**
     * The queue is full of requests of low priority weight. A request of high weight displaces one of them and is not
     * rejected.
     */
    @Test
    void lowestPriorityWeightIsRejectedFirst() {
        driver.snapshot(endpoint("a"));
        for (int i = 0; i < 20; i++) {
            driver.submit(READ);
        }
        String pay = driver.submit(PAY);
        assertThat(driver.hasEmitted(new Reject(pay, 0))).isFalse();
        assertThat(driver.hasEmitted(new Fail(pay))).isFalse();
    }

    /**
     * All endpoints stay busy. A queued request that is started too late is answered after its latency objective, and
     * one that is rejected too late leaves the client no time for a retry. The request must be rejected when an attempt
     * started now could only just meet the objective, and not earlier.
     */
    @Test
    void queuedRequestIsRejectedWhileARetryCouldStillSucceed() {
        driver.snapshot(endpoint("a"));
        for (int i = 0; i < 3; i++) {
            driver.submit(READ);
        }
        String queued = driver.submit(READ);
        // Its objective is 600 ms away; it is given up 160 ms before, 0.4 times the shortest objective (400 ms).
        driver.advance(439 * MILLIS);
        assertThat(driver.hasEmitted(new Reject(queued, 0))).isFalse();
        driver.advance(1 * MILLIS);
        assertThat(driver.hasEmitted(new Reject(queued, 0))).isTrue();
    }

    /**
     * Under overload, a client retries a request whose latency objective has already passed. In this class, a late
     * answer is worth nothing, and it would take capacity from a request that can still meet its objective. The retry
     * is rejected, but served when there is spare capacity.
     */
    @Test
    void retryPastItsLatencyObjectiveIsServedOnlyFromSpareCapacity() {
        driver.snapshot(endpoint("a"));
        for (int i = 0; i < 4; i++) {
            String id = "first" + i;
            driver.handle(new RequestArrived(id, "read", null, null, 1800 * MILLIS, false));
        }
        assertThat(driver.attemptCount("first2")).isEqualTo(1);
        assertThat(driver.attemptCount("first3")).isZero();
        // 1.2 s of the 2 s deadline are left: the client first sent it 0.8 s ago, and the objective is 0.6 s.
        driver.handle(new RequestArrived("late", "read", null, null, 1200 * MILLIS, true));
        // As much time is left as for a first request, so it is not known when the client first sent it.
        driver.handle(new RequestArrived("again", "read", null, null, 1800 * MILLIS, true));
        assertThat(driver.hasEmitted(new Reject("late", 0))).isTrue();
        driver.endAttempt("first0", AttemptOutcome.SUCCESS, MILLIS);
        driver.endAttempt("first1", AttemptOutcome.SUCCESS, MILLIS);
        assertThat(driver.attemptCount("again")).isEqualTo(1);
        // With spare capacity, a late retry is served.
        driver.nowUs += 100 * MILLIS;
        driver.endAttempt("first2", AttemptOutcome.SUCCESS, MILLIS);
        driver.endAttempt("first3", AttemptOutcome.SUCCESS, MILLIS);
        driver.endAttempt("again", AttemptOutcome.SUCCESS, MILLIS);
        driver.handle(new RequestArrived("idle", "read", null, null, 1200 * MILLIS, true));
        assertThat(driver.attemptCount("idle")).isEqualTo(1);
    }

    /**
     * An endpoint needs less work for a request whose key it has cached. Two requests of equal priority weight wait
     * when an endpoint becomes free. The one whose key this endpoint has cached is started, although the other arrived
     * first.
     */
    @Test
    void freedCapacityGoesToTheRequestWhoseKeyIsCachedThere() {
        var proxy = new LoadBalancerDriver(
                minimalSettings().proxy(0, 3).cacheAffinity(true).build());
        proxy.snapshot(endpoint("a"), endpoint("b"), endpoint("c"), endpoint("d"), endpoint("e"), endpoint("f"));
        String[] keys = new String[60];
        var cachedAt = new HashMap<String, String>();
        for (int i = 0; i < keys.length; i++) {
            keys[i] = "key" + i;
            proxy.handle(new RequestArrived("probe" + i, "read", null, keys[i], 2 * SECONDS, false));
            cachedAt.put(keys[i], proxy.lastAttempt("probe" + i).endpointId());
            proxy.endAttempt("probe" + i, AttemptOutcome.SUCCESS, MILLIS);
        }
        proxy.nowUs += 20 * SECONDS;
        var inFlight = new ArrayList<String>();
        for (int i = 0; i < 6; i++) {
            inFlight.add(proxy.submit(READ));
        }
        String freedEndpoint = proxy.lastAttempt(inFlight.get(0)).endpointId();
        String otherKey = Arrays.stream(keys)
                .filter(key -> !cachedAt.get(key).equals(freedEndpoint))
                .findFirst()
                .orElseThrow();
        String cachedKey = Arrays.stream(keys)
                .filter(key -> cachedAt.get(key).equals(freedEndpoint))
                .findFirst()
                .orElseThrow();
        proxy.handle(new RequestArrived("other", "read", null, otherKey, 2 * SECONDS, false));
        proxy.nowUs += MILLIS;
        proxy.handle(new RequestArrived("fits", "read", null, cachedKey, 2 * SECONDS, false));
        assertThat(proxy.attemptCount("other") + proxy.attemptCount("fits")).isZero();
        proxy.endAttempt(inFlight.get(0), AttemptOutcome.SUCCESS, MILLIS);
        assertThat(proxy.attemptCount("fits")).isEqualTo(1);
        assertThat(proxy.attemptCount("other")).isZero();
    }

    /**
     * The concurrency limit of the proxy is below one, so it starts a request only now and then, and in a longer queue
     * requests would wait too long. One request waits, the next is rejected.
     */
    @Test
    void proxyOfALargeFleetQueuesNoMoreThanItCanSoonStart() {
        var proxy = LargeFleet.proxy(0);
        proxy.submit(READ);
        String queued = proxy.submit(READ);
        String tooMany = proxy.submit(READ);
        assertThat(proxy.hasEmitted(new Reject(tooMany, 0))).isTrue();
        assertThat(proxy.hasEmitted(new Reject(queued, 0))).isFalse();
    }
}
