package gaugegw.simulator;

import gaugegw.balancer.api.AttemptOutcome;
import gaugegw.balancer.api.EndpointState;
import gaugegw.balancer.api.UpdateKind;
import java.util.Map;

/**
 * The names in the simulator's wire protocol: of messages, of their fields and of field values. No other class of the
 * program contains them, so a simulator with other names requires changes only here. Fields whose constants end in
 * {@code _US} are in microseconds.
 */
final class WireNames {
    // The first line of a batch, its field, the last line of a batch and the last line of a reply.
    static final String BATCH = "batch";
    static final String BATCH_TIME_US = "wall_us";
    static final String BATCH_END = "commit";
    static final String REPLY_END = "ok";

    // Messages to an instance, which is the load balancer of one simulated proxy. An endpoint update is followed by one
    // endpoint entry for each of its endpoints.
    static final String INSTANCE_STARTED = "up";
    static final String INSTANCE_KILLED = "detach";
    static final String ENDPOINT_UPDATE = "update";
    static final String ENDPOINT_ENTRY = "entry";
    static final String REQUEST_ARRIVED = "incoming";
    static final String ATTEMPT_ENDED = "completed";
    static final String TIMER_FIRED = "deadline_hit";
    static final String CLIENT_DISCONNECTED = "hangup";
    static final String STREAM_STARTED = "flowing";
    static final String HEALTH_CHECK_ENDED = "probed";
    static final String PEER_MESSAGE_RECEIVED = "inbox";

    // Messages from an instance.
    static final String START_ATTEMPT = "relay";
    static final String SET_TIMER = "arm";
    static final String REJECT = "not_now";
    static final String FAIL = "finish_error";
    static final String CANCEL_ATTEMPT = "retract";
    static final String CLOSE_IDLE_CONNECTIONS = "release";
    static final String CHECK_HEALTH = "sound_out";
    static final String WATCH_ENDPOINTS = "observe";
    static final String FETCH_ENDPOINTS = "pull";
    static final String LOG_MESSAGE = "print";
    static final String INSTANCE_FAILED = "panic";

    // Fields that occur in several messages.
    static final String INSTANCE_ID = "who";
    static final String REQUEST_ID = "op_id";
    static final String ATTEMPT_NUMBER = "go";
    static final String ENDPOINT_ID = "backend";
    static final String OUTCOME = "how";
    static final String LATENCY_US = "cost_time_us";
    static final String TIMER_TOKEN = "ctx";
    static final String MESSAGE_TEXT = "message";

    // Fields that occur in one message only.
    static final String SEED = "prng";
    static final String REQUEST_CLASS = "kind";
    static final String TENANT = "user_group";
    static final String AFFINITY_KEY = "path_key";
    static final String CLIENT_TIMEOUT_US = "patience_left_us";
    static final String IS_RETRY = "repeat";
    static final String REQUEST_ENDED = "last";
    static final String UPDATE_KIND = "form";
    static final String ENTRY_COUNT = "nodes_list";
    static final String ENDPOINT_STATE = "stage_state";
    static final String ENDPOINT_KIND = "machine";
    static final String ZONE = "zone";
    static final String CELL = "group";
    static final String STARTED_AT_US = "last_start_us";
    static final String WEIGHT = "capacity_hint";
    static final String ATTEMPT_TIMEOUT_US = "max_wait_us";
    static final String TIMER_AT_US = "fire_at_us";
    static final String RETRY_AFTER_US = "not_before_for_us";
    static final String WATCH_ENABLED = "enable";

    static final Map<String, AttemptOutcome> OUTCOMES = Map.of(
            "delivered", AttemptOutcome.SUCCESS,
            "app_error", AttemptOutcome.ERROR,
            "shed", AttemptOutcome.REJECTED,
            "expired", AttemptOutcome.TIMEOUT,
            "dial_failed", AttemptOutcome.CONNECT_FAILED,
            "dropped", AttemptOutcome.RESET,
            "revoked", AttemptOutcome.CANCELLED,
            "unused", AttemptOutcome.NOT_SENT);

    static final Map<String, EndpointState> ENDPOINT_STATES = Map.of(
            "IN", EndpointState.READY,
            "LAME", EndpointState.DRAINING,
            "OUT", EndpointState.GONE);

    static final Map<String, UpdateKind> UPDATE_KINDS = Map.of(
            "patch", UpdateKind.DELTA,
            "whole", UpdateKind.SNAPSHOT,
            "stale_copy", UpdateKind.CACHED,
            "broken", UpdateKind.POLL_FAILED);

    private WireNames() {}
}
