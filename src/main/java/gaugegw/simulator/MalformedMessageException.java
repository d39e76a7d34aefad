package gaugegw.simulator;

/** Input that is not a legal message of the wire. The message names the line, counted from 1, and what is wrong there. */
final class MalformedMessageException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private MalformedMessageException(long lineNumber, String problem) {
        super("line " + lineNumber + ": " + problem);
    }

    /** A line that is no legal message for a reason that the problem tells in full. */
    static MalformedMessageException of(long lineNumber, String problem) {
        return new MalformedMessageException(lineNumber, problem);
    }

    /** A line of one message where another is required. */
    static MalformedMessageException unexpectedMessage(MessageFields found, String expected) {
        return of(found.lineNumber(), "expected '" + expected + "', found '" + found.name() + "'");
    }

    /** A message without a field that it requires. */
    static MalformedMessageException missingField(MessageFields message, String field) {
        return of(message.lineNumber(), message.name() + ": missing field '" + field + "'");
    }

    /** A field whose value cannot be read as its type requires, such as "number" or "bool". */
    static MalformedMessageException badValue(MessageFields message, String field, String type, String value) {
        return of(message.lineNumber(), message.name() + ": bad " + type + " '" + value + "' in '" + field + "'");
    }

    /** A field whose value is none of the names that the wire defines for it. */
    static MalformedMessageException unknownValue(MessageFields message, String field, String value) {
        return of(message.lineNumber(), message.name() + ": unknown value '" + value + "' in '" + field + "'");
    }
}
