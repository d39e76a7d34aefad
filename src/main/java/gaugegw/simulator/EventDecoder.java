package gaugegw.simulator;

import gaugegw.balancer.api.BalancerSettings;
import gaugegw.balancer.api.Endpoint;
import gaugegw.balancer.api.Event;
import gaugegw.balancer.api.UpdateKind;
import gaugegw.settings.SettingsReader;
import gaugegw.settings.SettingsTree;

/** Converts messages of the wire protocol to settings, events and endpoints. */
final class EventDecoder {
    private EventDecoder() {}

    /**
     * Decodes the settings of an instance from the message that starts it. Every field of the message is treated as a
     * setting; those that no setting is read from are ignored.
     *
     * @throws MalformedMessageException if a setting is missing or invalid
     */
    static BalancerSettings decodeSettings(MessageFields message) {
        var settings = SettingsTree.builder();
        for (int i = 0; i < message.fieldCount(); i++) {
            settings.put(message.key(i), message.value(i));
        }
        try {
            return SettingsReader.read(settings.build(), message.longValue(WireNames.SEED));
        } catch (IllegalArgumentException e) {
            throw invalidMessage(message, e);
        }
    }

    /**
     * Decodes an event that consists of a single message: all events but the endpoint update.
     *
     * @throws MalformedMessageException if there is no event of this name, or a field is missing or invalid
     */
    static Event decodeEvent(String name, MessageFields message) {
        return switch (name) {
            case WireNames.REQUEST_ARRIVED -> decodeRequestArrived(message);
            case WireNames.ATTEMPT_ENDED -> decodeAttemptEnded(message);
            case WireNames.TIMER_FIRED -> new Event.TimerFired(message.text(WireNames.TIMER_TOKEN));
            case WireNames.CLIENT_DISCONNECTED -> new Event.ClientDisconnected(message.text(WireNames.REQUEST_ID));
            // StreamStarted and HealthCheckEnded occur only in simulations: a deployed proxy produces neither.
            case WireNames.STREAM_STARTED ->
                new Event.StreamStarted(
                        message.text(WireNames.REQUEST_ID), message.nonNegativeInt(WireNames.ATTEMPT_NUMBER));
            case WireNames.HEALTH_CHECK_ENDED ->
                new Event.HealthCheckEnded(
                        message.text(WireNames.ENDPOINT_ID),
                        message.oneOf(WireNames.OUTCOME, WireNames.OUTCOMES),
                        message.longValue(WireNames.LATENCY_US));
            default -> throw MalformedMessageException.of(message.lineNumber(), "unknown event '" + name + "'");
        };
    }

    private static Event decodeRequestArrived(MessageFields message) {
        return new Event.RequestArrived(
                message.text(WireNames.REQUEST_ID),
                message.text(WireNames.REQUEST_CLASS),
                message.textOrNull(WireNames.TENANT),
                message.textOrNull(WireNames.AFFINITY_KEY),
                message.longValue(WireNames.CLIENT_TIMEOUT_US),
                message.booleanValue(WireNames.IS_RETRY));
    }

    private static Event decodeAttemptEnded(MessageFields message) {
        return new Event.AttemptEnded(
                message.text(WireNames.REQUEST_ID),
                message.nonNegativeInt(WireNames.ATTEMPT_NUMBER),
                message.text(WireNames.ENDPOINT_ID),
                message.oneOf(WireNames.OUTCOME, WireNames.OUTCOMES),
                message.longValue(WireNames.LATENCY_US),
                message.booleanValue(WireNames.REQUEST_ENDED));
    }

    /**
     * Decodes the kind of an endpoint update from its first message.
     *
     * @throws MalformedMessageException if the kind is missing or unknown
     */
    static UpdateKind decodeUpdateKind(MessageFields message) {
        return message.oneOf(WireNames.UPDATE_KIND, WireNames.UPDATE_KINDS);
    }

    /**
     * Decodes how many endpoint entries follow the first message of an endpoint update; 0 if the field is absent.
     *
     * @throws MalformedMessageException if the count is not a number or is out of range
     */
    static int decodeEntryCount(MessageFields message) {
        return message.has(WireNames.ENTRY_COUNT) ? message.nonNegativeInt(WireNames.ENTRY_COUNT) : 0;
    }

    /**
     * Decodes one endpoint entry of an endpoint update.
     *
     * @throws MalformedMessageException if the message is not an endpoint entry, or a field is missing or invalid
     */
    static Endpoint decodeEndpoint(MessageFields message) {
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
            throw invalidMessage(message, e);
        }
    }

    private static MalformedMessageException invalidMessage(MessageFields message, IllegalArgumentException cause) {
        return MalformedMessageException.of(message.lineNumber(), message.name() + ": " + cause.getMessage());
    }
}
