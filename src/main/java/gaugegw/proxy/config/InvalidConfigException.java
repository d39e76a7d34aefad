package gaugegw.proxy.config;

import java.io.IOException;

/** A configuration that no proxy can run with. The message is one line for the operators and names the field. */
public final class InvalidConfigException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Stands for the field where the complete configuration can't be read, and for what isn't known. */
    private static final String NONE = "";

    private final String field;
    private final String found;
    private final String expected;

    private InvalidConfigException(String message, String field, String found, String expected) {
        super(message);
        this.field = field;
        this.found = found;
        this.expected = expected;
    }

    /** The environment does not say where the configuration is. */
    public static InvalidConfigException variableNotSet(String variable) {
        return ofDocument(variable + " is not set");
    }

    /** The address in {@code listen} can't be listened on. */
    public static InvalidConfigException cannotListen(String address, Throwable cause) {
        return new InvalidConfigException("'listen': " + cause.getMessage(), "listen", address, NONE);
    }

    static InvalidConfigException unreadable(IOException cause) {
        return ofDocument("cannot be read: " + cause);
    }

    static InvalidConfigException notJson(String reason) {
        return ofDocument("not JSON: " + reason);
    }

    static InvalidConfigException missing(String field) {
        return new InvalidConfigException("'" + field + "': missing", field, NONE, NONE);
    }

    /** A text can't be read, such as an address. */
    static InvalidConfigException malformed(String field, String found, String expected) {
        return new InvalidConfigException("'" + field + "': '" + found + "' is no " + expected, field, found, expected);
    }

    /** A value is of the wrong type, out of range or missing. */
    static InvalidConfigException notAllowed(String field, String found, String expected) {
        return new InvalidConfigException("'" + field + "': " + expected + " is wanted", field, found, expected);
    }

    /** A setting is missing or can't be read; the reason names it. */
    static InvalidConfigException settings(IllegalArgumentException reason) {
        return new InvalidConfigException("'settings': " + reason.getMessage(), "settings", NONE, NONE);
    }

    private static InvalidConfigException ofDocument(String message) {
        return new InvalidConfigException(message, NONE, NONE, NONE);
    }

    /** Returns the path of the field, such as {@code limits.sockets}; empty where the problem is no field's. */
    public String field() {
        return field;
    }

    /** Returns what stands in the field, as text; empty where nothing does or the message alone tells. */
    public String found() {
        return found;
    }

    /** Returns what is expected in the field; empty where the message alone tells. */
    public String expected() {
        return expected;
    }
}
