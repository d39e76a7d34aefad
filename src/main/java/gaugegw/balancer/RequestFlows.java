package gaugegw.balancer;

import gaugegw.balancer.api.BalancerSettings;
import gaugegw.balancer.api.RequestClass;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The request classes by name, and the numbering of the flows. A flow is the requests of one class and tenant, or of
 * one class without a known tenant. Health is kept by flow, as an endpoint may fail the requests of some flows only.
 */
final class RequestFlows {
    private final List<RequestClass> classes;
    private final Map<String, RequestClass> byName = new HashMap<>();
    private final int flowsPerClass;

    RequestFlows(BalancerSettings settings, int tenantCount) {
        classes = settings.requestClasses();
        classes.forEach(requestClass -> byName.put(requestClass.name(), requestClass));
        flowsPerClass = tenantCount + 1;
    }

    /** Returns a class, or throws an IllegalArgumentException if the settings do not have it. */
    RequestClass requestClass(String name) {
        RequestClass requestClass = byName.get(name);
        if (requestClass == null) {
            throw new IllegalArgumentException("request of a class not in the settings: " + name);
        }
        return requestClass;
    }

    /** Returns the number of a flow, from 0 and below {@link #count()}. */
    int flow(RequestClass requestClass, int tenantNumber) {
        return classes.indexOf(requestClass) * flowsPerClass + tenantNumber;
    }

    int count() {
        return byName.size() * flowsPerClass;
    }

    /** Returns the share of the classes, from 0 to 1, with a lower priority weight. */
    double shareBelow(double priorityWeight) {
        int below = 0;
        for (RequestClass requestClass : byName.values()) {
            if (requestClass.priorityWeight() < priorityWeight) {
                below++;
            }
        }
        return below / (double) byName.size();
    }
}
