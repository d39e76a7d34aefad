package gaugegw.simulator;

/** Input that is not a legal message of the wire; the message says what is wrong with it. */
final class MalformedMessageException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    MalformedMessageException(String message) {
        super(message);
    }
}
