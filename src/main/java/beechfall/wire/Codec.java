package beechfall.wire;

import beechfall.Action;
import beechfall.Backend;
import beechfall.Balancer;
import beechfall.Event;
import beechfall.ListKind;
import beechfall.Outcome;
import beechfall.Settings;
import beechfall.State;
import java.util.HashMap;
import java.util.Map;

/** Translates between the lines of the wire and the events and actions of {@link Balancer}. */
final class Codec {
    private static final Map<String, Outcome> OUTCOMES = Map.of(
            "delivered", Outcome.OK,
            "app_error", Outcome.ERROR,
            "shed", Outcome.FULL,
            "expired", Outcome.TIMEOUT,
            "dial_failed", Outcome.CONNECT_FAILED,
            "dropped", Outcome.RESET,
            "revoked", Outcome.CANCELLED,
            "unused", Outcome.NOT_SENT);
    private static final Map<String, State> STATES = Map.of(
            "IN", State.READY,
            "LAME", State.DRAINING,
            "OUT", State.GONE);
    private static final Map<String, ListKind> LISTS = Map.of(
            "patch", ListKind.DELTA,
            "whole", ListKind.FULL,
            "stale_copy", ListKind.CACHED,
            "broken", ListKind.FAILED);

    private Codec() {}

    /** Reads the settings of an {@code up} line. */
    static Settings settings(Fields up) {
        var values = new HashMap<String, String>();
        for (int i = 0; i < up.size(); i++) {
            values.put(up.key(i), up.value(i));
        }
        return SettingsReader.read(values, up.whole("prng"));
    }

    /** Reads an event that fits on one line, or returns null for one that the module has no use for. */
    static Event event(String name, Fields in) {
        return switch (name) {
            case "incoming" ->
                new Event.Arrival(
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
            case "hangup" -> new Event.ClientGone(in.text("op_id"));
            case "flowing" -> new Event.StreamStarted(in.text("op_id"), in.small("go"));
            case "probed" ->
                new Event.ProbeEnded(in.text("backend"), word(in, "how", OUTCOMES), in.whole("cost_time_us"));
            case "inbox" -> null;
            default -> throw new WireException("unknown event '" + name + "'");
        };
    }

    static ListKind listKind(Fields in) {
        return word(in, "form", LISTS);
    }

    /** Reads one {@code entry} line of a list. */
    static Backend backend(Fields in) {
        if (!in.name().equals("entry")) {
            throw new WireException("expected 'entry', found '" + in.name() + "'");
        }
        return new Backend(
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
        if (action instanceof Action.Send a) {
            head(out, "relay", who)
                    .append(" op_id=")
                    .append(a.id())
                    .append(" backend=")
                    .append(a.backend())
                    .append(" max_wait_us=")
                    .append(a.timeoutUs());
        } else if (action instanceof Action.SetTimer a) {
            head(out, "arm", who)
                    .append(" fire_at_us=")
                    .append(a.atUs())
                    .append(" ctx=")
                    .append(a.token());
        } else if (action instanceof Action.Refuse a) {
            head(out, "not_now", who).append(" op_id=").append(a.id());
            if (a.retryAfterUs() > 0) {
                out.append(" not_before_for_us=").append(a.retryAfterUs());
            }
        } else if (action instanceof Action.Fail a) {
            head(out, "finish_error", who).append(" op_id=").append(a.id());
        } else if (action instanceof Action.Cancel a) {
            head(out, "retract", who)
                    .append(" op_id=")
                    .append(a.id())
                    .append(" go=")
                    .append(a.attempt());
        } else if (action instanceof Action.Release a) {
            head(out, "release", who).append(" backend=").append(a.backend());
        } else if (action instanceof Action.Probe a) {
            head(out, "sound_out", who).append(" backend=").append(a.backend());
        } else if (action instanceof Action.Watch a) {
            head(out, "observe", who).append(" enable=").append(a.on() ? 1 : 0);
        } else if (action instanceof Action.Fetch) {
            head(out, "pull", who);
        } else if (action instanceof Action.Log a) {
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

    private static <T> T word(Fields in, String key, Map<String, T> words) {
        String value = in.text(key);
        T meaning = words.get(value);
        if (meaning == null) {
            throw new WireException(in.name() + ": unknown value '" + value + "' in '" + key + "'");
        }
        return meaning;
    }
}
