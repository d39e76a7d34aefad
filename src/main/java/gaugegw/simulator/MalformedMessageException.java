package gaugegw.simulator;

/**
 * Input that violates the simulator's wire protocol. The exception message has the form {@code line N: problem}, with
 * lines counted from 1.
 */
final class MalformedMessageException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private MalformedMessageException(long lineNumber, String problem) {
        super("line " + lineNumber + ": " + problem);
    }

    /** Creates an exception for a problem that none of the other factory methods describes. */
    static MalformedMessageException of(long lineNumber, String problem) {
        return new MalformedMessageException(lineNumber, problem);
    }

    /** Creates an exception for a message that is not the one required at this point. */
    static MalformedMessageException unexpectedMessage(MessageFields found, String expected) {
        return of(found.lineNumber(), "expected message '" + expected + "', found '" + found.name() + "'");
    }

    /** Creates an exception for a required field that is absent or empty. */
    static MalformedMessageException missingField(MessageFields message, String field) {
        return of(message.lineNumber(), message.name() + ": missing field '" + field + "'");
    }

    /**
     * Creates an exception for a field whose value is not of the required type or is out of its range.
     *
     * @param type the required type, as the exception message names it
     */
    static MalformedMessageException invalidValue(MessageFields message, String field, String type, String value) {
        return of(
                message.lineNumber(),
                message.name() + ": invalid " + type + " '" + value + "' in field '" + field + "'");
    }

    /** Creates an exception for a field whose value is not among those that the protocol defines for it. */
    static MalformedMessageException unknownValue(MessageFields message, String field, String value) {
        return of(message.lineNumber(), message.name() + ": unknown value '" + value + "' in field '" + field + "'");
    }
}
