package gaugegw.balancer;

import static gaugegw.balancer.testing.TestEndpoints.endpoints;
import static gaugegw.balancer.testing.TestSettings.READ;
import static gaugegw.balancer.testing.TestSettings.SECONDS;
import static gaugegw.balancer.testing.TestSettings.minimalSettings;

import gaugegw.balancer.api.RequestClass;
import java.util.List;

/**
 * A fleet with far more proxies than endpoints: 400 proxies share 60 endpoints. With three attempts in flight at each
 * endpoint, the share of one proxy is 3 x 60 / 400, which is less than half an attempt.
 */
final class LargeFleet {
    static final int PROXIES = 400;
    static final int ENDPOINTS = 60;

    private LargeFleet() {}

    /** Returns one proxy of the fleet, 5 s after its start. It serves only {@code READ} if no classes are given. */
    static LoadBalancerDriver proxy(int index, RequestClass... requestClasses) {
        var driver = new LoadBalancerDriver(minimalSettings()
                .proxy(index, PROXIES)
                .requestClasses(requestClasses.length == 0 ? List.of(READ) : List.of(requestClasses))
                .seed(index)
                .build());
        driver.snapshot(endpoints(ENDPOINTS, "s"));
        driver.advance(5 * SECONDS);
        return driver;
    }
}
