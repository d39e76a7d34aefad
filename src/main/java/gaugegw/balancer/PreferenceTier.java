package gaugegw.balancer;

/**
 * The order of preference among eligible endpoints, best first. Only endpoints of one tier compete by their deadlines,
 * so that a fault outweighs any difference in weight, and an endpoint is tried twice only where no other will do.
 */
enum PreferenceTier {
    HEALTHY,
    HEALTHY_ALREADY_TRIED,
    SUSPECT,
    /** Two conditions of equal rank: a suspect endpoint that has been tried, and a failing one that has not. */
    FAILING_OR_SUSPECT_ALREADY_TRIED,
    FAILING_ALREADY_TRIED;

    /**
     * Returns the tier of an endpoint for one request.
     *
     * @param condition the endpoint's health for the request's flow
     * @param alreadyTried whether the request has had an attempt at the endpoint
     */
    static PreferenceTier of(EndpointHealth.Condition condition, boolean alreadyTried) {
        return switch (condition) {
            case HEALTHY -> alreadyTried ? HEALTHY_ALREADY_TRIED : HEALTHY;
            case SUSPECT -> alreadyTried ? FAILING_OR_SUSPECT_ALREADY_TRIED : SUSPECT;
            case FAILING -> alreadyTried ? FAILING_ALREADY_TRIED : FAILING_OR_SUSPECT_ALREADY_TRIED;
        };
    }

    boolean isPreferredTo(PreferenceTier other) {
        return compareTo(other) < 0;
    }
}
