package gaugegw.simulator;

import gaugegw.balancer.api.BalancerSettings;
import gaugegw.balancer.api.Endpoint;
import gaugegw.balancer.api.Event;
import gaugegw.balancer.api.UpdateKind;
import gaugegw.settings.SettingsReader;
import gaugegw.settings.SettingsTree;

/** Reads events, endpoints and settings from lines of the wire. */
final class EventDecoder {
    private EventDecoder() {}

    /**
     * Reads the settings that an instance starts with.
     *
     * @throws MalformedMessageException if a setting is missing or invalid
     */
    static BalancerSettings settings(MessageFields message) {
        var values = SettingsTree.builder();
        for (int i = 0; i < message.size(); i++) {
            values.put(message.key(i), message.value(i));
        }
        try {
            return SettingsReader.read(values.build(), message.longValue(WireNames.SEED));
        } catch (IllegalArgumentException e) {
            throw invalid(message, e);
        }
    }

    /**
     * Reads an event that takes one line.
     *
     * @throws MalformedMessageException if the wire has no such event, or one of its fields is missing or invalid
     */
    static Event event(String name, MessageFields message) {
        return switch (name) {
            case WireNames.REQUEST_ARRIVED -> requestArrived(message);
            case WireNames.ATTEMPT_ENDED -> attemptEnded(message);
            case WireNames.TIMER_FIRED -> new Event.TimerFired(message.text(WireNames.TIMER_TOKEN));
            case WireNames.CLIENT_DISCONNECTED -> new Event.ClientDisconnected(message.text(WireNames.REQUEST_ID));
            // The proxy produces neither this event nor the next; they exist because the wire has them.
            case WireNames.STREAM_STARTED ->
                new Event.StreamStarted(message.text(WireNames.REQUEST_ID), message.nonNegativeInt(WireNames.ATTEMPT));
            case WireNames.HEALTH_CHECK_ENDED ->
                new Event.HealthCheckEnded(
                        message.text(WireNames.ENDPOINT_ID),
                        message.oneOf(WireNames.OUTCOME, WireNames.OUTCOMES),
                        message.longValue(WireNames.LATENCY_US));
            default -> throw MalformedMessageException.of(message.lineNumber(), "unknown event '" + name + "'");
        };
    }

    private static Event requestArrived(MessageFields message) {
        return new Event.RequestArrived(
                message.text(WireNames.REQUEST_ID),
                message.text(WireNames.REQUEST_CLASS),
                message.textOrNull(WireNames.TENANT),
                message.textOrNull(WireNames.CACHE_KEY),
                message.longValue(WireNames.CLIENT_TIMEOUT_US),
                message.booleanValue(WireNames.IS_RETRY));
    }

    private static Event attemptEnded(MessageFields message) {
        return new Event.AttemptEnded(
                message.text(WireNames.REQUEST_ID),
                message.nonNegativeInt(WireNames.ATTEMPT),
                message.text(WireNames.ENDPOINT_ID),
                message.oneOf(WireNames.OUTCOME, WireNames.OUTCOMES),
                message.longValue(WireNames.LATENCY_US),
                message.booleanValue(WireNames.REQUEST_ENDED));
    }

    /** Reads what kind of update an endpoint update is. */
    static UpdateKind updateKind(MessageFields message) {
        return message.oneOf(WireNames.UPDATE_KIND, WireNames.UPDATE_KINDS);
    }

    /** Reads how many endpoint lines follow the line of an endpoint update. */
    static int entryCount(MessageFields message) {
        return message.has(WireNames.ENTRY_COUNT) ? message.nonNegativeInt(WireNames.ENTRY_COUNT) : 0;
    }

    /**
     * Reads one endpoint line of an update.
     *
     * @throws MalformedMessageException if it is another message, or one of its fields is missing or invalid
     */
    static Endpoint endpoint(MessageFields message) {
        if (!message.name().equals(WireNames.ENDPOINT_ENTRY)) {
            throw MalformedMessageException.unexpectedMessage(message, WireNames.ENDPOINT_ENTRY);
        }
        try {
            return new Endpoint(
                    message.text(WireNames.ENDPOINT_ID),
                    message.oneOf(WireNames.ENDPOINT_STATE, WireNames.ENDPOINT_STATES),
                    message.textOrNull(WireNames.ENDPOINT_KIND),
                    message.textOrNull(WireNames.ZONE),
                    (int) message.longValueOr(WireNames.CELL, 0),
                    message.longValueOr(WireNames.STARTED_AT_US, 0),
                    message.doubleValueOr(WireNames.WEIGHT, 1));
        } catch (IllegalArgumentException e) {
            throw invalid(message, e);
        }
    }

    private static MalformedMessageException invalid(MessageFields message, IllegalArgumentException cause) {
        return MalformedMessageException.of(message.lineNumber(), message.name() + ": " + cause.getMessage());
    }
}
