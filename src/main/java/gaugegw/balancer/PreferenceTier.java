package gaugegw.balancer;

/**
 * Tiers of eligible endpoints, the most preferred first. Only endpoints of the same tier are compared by deadline, so
 * that health outweighs any difference in weight. Within each condition, endpoints that the request has not tried yet
 * come first.
 */
enum PreferenceTier {
    HEALTHY,
    HEALTHY_ALREADY_TRIED,
    SUSPECT,
    /** Two cases of equal rank: a suspect endpoint that was already tried, and a failing one that was not. */
    FAILING_OR_SUSPECT_ALREADY_TRIED,
    FAILING_ALREADY_TRIED;

    /**
     * Returns the tier of an endpoint for one request.
     *
     * @param condition the endpoint's condition for the request's flow
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
