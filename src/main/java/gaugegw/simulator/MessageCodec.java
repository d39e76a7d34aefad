package gaugegw.simulator;

import gaugegw.balancer.api.Action;
import gaugegw.balancer.api.AttemptOutcome;
import gaugegw.balancer.api.BalancerSettings;
import gaugegw.balancer.api.Endpoint;
import gaugegw.balancer.api.EndpointState;
import gaugegw.balancer.api.Event;
import gaugegw.balancer.api.UpdateKind;
import gaugegw.settings.SettingsReader;
import gaugegw.settings.SettingsTree;
import java.util.Map;

/** Translates between the lines of the wire and the events and actions of {@link LoadBalancer}. */
final class MessageCodec {
    private static final Map<String, AttemptOutcome> OUTCOMES = Map.of(
            "delivered", AttemptOutcome.SUCCESS,
            "app_error", AttemptOutcome.ERROR,
            "shed", AttemptOutcome.REJECTED,
            "expired", AttemptOutcome.TIMEOUT,
            "dial_failed", AttemptOutcome.CONNECT_FAILED,
            "dropped", AttemptOutcome.RESET,
            "revoked", AttemptOutcome.CANCELLED,
            "unused", AttemptOutcome.NOT_SENT);
    private static final Map<String, EndpointState> STATES = Map.of(
            "IN", EndpointState.READY,
            "LAME", EndpointState.DRAINING,
            "OUT", EndpointState.GONE);
    private static final Map<String, UpdateKind> LISTS = Map.of(
            "patch", UpdateKind.DELTA,
            "whole", UpdateKind.SNAPSHOT,
            "stale_copy", UpdateKind.CACHED,
            "broken", UpdateKind.POLL_FAILED);

    private MessageCodec() {}

    /** Reads the settings of an {@code up} line. */
    static BalancerSettings settings(MessageFields up) {
        var values = SettingsTree.builder();
        for (int i = 0; i < up.size(); i++) {
            values.put(up.key(i), up.value(i));
        }
        return SettingsReader.read(values.build(), up.whole("prng"));
    }

    /** Reads an event that fits on one line, or returns null for one that the module has no use for. */
    static Event event(String name, MessageFields in) {
        return switch (name) {
            case "incoming" ->
                new Event.RequestArrived(
                        in.text("op_id"),
                        in.text("kind"),
                        in.optional("user_group"),
                        in.optional("path_key"),
                        in.whole("patience_left_us"),
                        in.flag("repeat"));
            case "completed" ->
                new Event.AttemptEnded(
                        in.text("op_id"),
                        in.small("go"),
                        in.text("backend"),
                        word(in, "how", OUTCOMES),
                        in.whole("cost_time_us"),
                        in.flag("last"));
            case "deadline_hit" -> new Event.TimerFired(in.text("ctx"));
            case "hangup" -> new Event.ClientDisconnected(in.text("op_id"));
            case "flowing" -> new Event.StreamStarted(in.text("op_id"), in.small("go"));
            case "probed" ->
                new Event.HealthCheckEnded(in.text("backend"), word(in, "how", OUTCOMES), in.whole("cost_time_us"));
            case "inbox" -> null;
            default -> throw new MalformedMessageException("unknown event '" + name + "'");
        };
    }

    static UpdateKind listKind(MessageFields in) {
        return word(in, "form", LISTS);
    }

    /** Reads one {@code entry} line of a list. */
    static Endpoint backend(MessageFields in) {
        if (!in.name().equals("entry")) {
            throw new MalformedMessageException("expected 'entry', found '" + in.name() + "'");
        }
        return new Endpoint(
                in.text("backend"),
                word(in, "stage_state", STATES),
                in.optional("machine"),
                in.optional("zone"),
                (int) in.whole("group", 0),
                in.whole("last_start_us", 0),
                in.number("capacity_hint", 1));
    }

    /** Appends the line of an action. */
    static void write(StringBuilder out, int who, Action action) {
        if (action instanceof Action.StartAttempt a) {
            head(out, "relay", who)
                    .append(" op_id=")
                    .append(a.requestId())
                    .append(" backend=")
                    .append(a.endpointId())
                    .append(" max_wait_us=")
                    .append(a.timeoutUs());
        } else if (action instanceof Action.SetTimer a) {
            head(out, "arm", who)
                    .append(" fire_at_us=")
                    .append(a.atUs())
                    .append(" ctx=")
                    .append(a.token());
        } else if (action instanceof Action.Reject a) {
            head(out, "not_now", who).append(" op_id=").append(a.requestId());
            if (a.retryAfterUs() > 0) {
                out.append(" not_before_for_us=").append(a.retryAfterUs());
            }
        } else if (action instanceof Action.Fail a) {
            head(out, "finish_error", who).append(" op_id=").append(a.requestId());
        } else if (action instanceof Action.CancelAttempt a) {
            head(out, "retract", who)
                    .append(" op_id=")
                    .append(a.requestId())
                    .append(" go=")
                    .append(a.attempt());
        } else if (action instanceof Action.CloseIdleConnections a) {
            head(out, "release", who).append(" backend=").append(a.endpointId());
        } else if (action instanceof Action.CheckHealth a) {
            head(out, "sound_out", who).append(" backend=").append(a.endpointId());
        } else if (action instanceof Action.WatchEndpoints a) {
            head(out, "observe", who).append(" enable=").append(a.enabled() ? 1 : 0);
        } else if (action instanceof Action.FetchEndpoints) {
            head(out, "pull", who);
        } else if (action instanceof Action.LogMessage a) {
            head(out, "print", who).append(" message=").append(oneLine(a.text()));
        } else {
            throw new IllegalStateException("no line for " + action);
        }
        out.append('\n');
    }

    static StringBuilder head(StringBuilder out, String name, int who) {
        return out.append(name).append(" who=").append(who);
    }

    static String oneLine(String text) {
        return text.replace('\n', ' ').replace('\r', ' ');
    }

    private static <T> T word(MessageFields in, String key, Map<String, T> words) {
        String value = in.text(key);
        T meaning = words.get(value);
        if (meaning == null) {
            throw new MalformedMessageException(in.name() + ": unknown value '" + value + "' in '" + key + "'");
        }
        return meaning;
    }
}
