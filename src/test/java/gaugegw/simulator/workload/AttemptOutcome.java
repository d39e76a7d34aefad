package gaugegw.simulator.workload;

/** How an attempt ended. */
enum AttemptOutcome {
    DELIVERED("delivered"),
    NOT_PROCESSED("unused"),
    CONNECT_FAILED("dial_failed"),
    TIMED_OUT("expired"),
    SHED("shed"),
    APPLICATION_ERROR("app_error"),
    CONNECTION_LOST("dropped"),
    CANCELLED("revoked");

    private final String wireName;

    AttemptOutcome(String wireName) {
        this.wireName = wireName;
    }

    String wireName() {
        return wireName;
    }
}
