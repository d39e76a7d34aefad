package gaugegw.proxy.discovery;

/** Thrown if a document is not an endpoint list; the message says why. */
final class MalformedListException extends Exception {
    private static final long serialVersionUID = 1L;

    MalformedListException(String message) {
        super(message);
    }
}
