package gaugegw.balancer;

import gaugegw.balancer.api.BalancerSettings;
import gaugegw.balancer.api.RequestClass;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The request classes, and the numbering of flows. A flow is the requests of one class and one tenant; requests
 * without a known tenant form one more flow in each class.
 */
final class RequestFlows {
    private final List<RequestClass> classes;
    private final Map<String, RequestClass> classesByName = new HashMap<>();
    private final int flowsPerClass;

    RequestFlows(BalancerSettings settings, int tenantCount) {
        this.classes = settings.requestClasses();
        this.flowsPerClass = tenantCount + 1;
        classes.forEach(requestClass -> classesByName.put(requestClass.name(), requestClass));
    }

    /**
     * Returns the class of a name.
     *
     * @throws IllegalArgumentException if the settings have no such class
     */
    RequestClass requestClass(String name) {
        RequestClass requestClass = classesByName.get(name);
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
        return classesByName.size() * flowsPerClass;
    }

    /** Returns the share of the classes whose priority weight is below a given one, from 0 to 1. */
    double shareBelow(double priorityWeight) {
        int below = 0;
        for (RequestClass requestClass : classesByName.values()) {
            if (requestClass.priorityWeight() < priorityWeight) {
                below++;
            }
        }
        return 1.0 * below / classesByName.size();
    }
}
