package gaugegw.balancer;

import gaugegw.balancer.api.BalancerSettings;
import gaugegw.balancer.api.RequestClass;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The request classes by name, and the indices of flows. A flow consists of the requests of one class and one tenant;
 * the requests of one class whose tenant has no quota form a flow as well. Endpoint health is tracked per flow, because
 * an endpoint may fail the requests of some flows only.
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

    /**
     * Returns the request class of the given name.
     *
     * @throws IllegalArgumentException if the settings have no such class
     */
    RequestClass requestClass(String name) {
        RequestClass requestClass = byName.get(name);
        if (requestClass == null) {
            throw new IllegalArgumentException("no request class named '" + name + "' in the settings");
        }
        return requestClass;
    }

    /**
     * Returns the index of a flow, from 0 to below {@link #count()}.
     *
     * @param tenantIndex the tenant's index, see {@link TenantQuotas#tenantIndex}
     */
    int flow(RequestClass requestClass, int tenantIndex) {
        return classes.indexOf(requestClass) * flowsPerClass + tenantIndex;
    }

    int count() {
        return byName.size() * flowsPerClass;
    }

    /** Returns the share of the classes whose priority weight is lower than the given one, from 0 to 1. */
    double lowerPriorityShare(double priorityWeight) {
        int lower = 0;
        for (RequestClass requestClass : byName.values()) {
            if (requestClass.priorityWeight() < priorityWeight) {
                lower++;
            }
        }
        return lower / (double) byName.size();
    }
}
