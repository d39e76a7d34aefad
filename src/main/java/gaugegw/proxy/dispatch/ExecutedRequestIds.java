package gaugegw.proxy.dispatch;

import gaugegw.balancer.api.AttemptOutcome;
import gaugegw.balancer.api.BalancerSettings;
import gaugegw.balancer.api.Idempotency;
import gaugegw.balancer.api.RequestClass;
import gaugegw.balancer.api.SafetyLimits;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The ids of the last requests that are not idempotent and that a backend may have executed. Clients use a fresh id for
 * each request; one that comes again, as after its client has disconnected, must not be executed a second time. Used on
 * the event loop only.
 */
final class ExecutedRequestIds {
    /** The requests of about half a minute at a hundred a second. */
    private static final int MAX_IDS = 4_096;
    /** Limits the memory if ids are long. */
    private static final int MAX_CHARACTERS = 256 * 1_024;

    private final Set<String> nonIdempotentClasses;
    private final SafetyLimits safetyLimits;
    /** The ids, in the order in which they were added. */
    private final Set<String> ids = new LinkedHashSet<>();

    private int characters;

    ExecutedRequestIds(BalancerSettings settings) {
        nonIdempotentClasses = settings.requestClasses().stream()
                .filter(requestClass -> requestClass.idempotency() == Idempotency.NOT_IDEMPOTENT)
                .map(RequestClass::name)
                .collect(Collectors.toUnmodifiableSet());
        safetyLimits = settings.safetyLimits();
    }

    boolean contains(String id) {
        return ids.contains(id);
    }

    /** Adds the id of a request whose attempt has ended, unless the request may be executed again. */
    void attemptEnded(DispatchedRequest request, AttemptOutcome outcome) {
        if (safetyLimits.mayHaveExecuted(outcome)
                && nonIdempotentClasses.contains(request.requestClass())
                && ids.add(request.id())) {
            characters += request.id().length();
            removeOldest();
        }
    }

    private void removeOldest() {
        Iterator<String> oldest = ids.iterator();
        while (ids.size() > MAX_IDS || characters > MAX_CHARACTERS) {
            characters -= oldest.next().length();
            oldest.remove();
        }
    }
}
