package gaugegw.proxy.config;

import java.io.IOException;

/**
 * Thrown if a proxy can't run with a configuration. The message is a single line for operators and names the field at
 * fault.
 */
public final class InvalidConfigException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Used for the field if the problem concerns the whole configuration, and for values that are not known. */
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

    /** Returns the exception for a missing environment variable, the one that names the configuration file. */
    public static InvalidConfigException variableNotSet(String variable) {
        return withoutField(
                "the environment variable " + variable + ", which names the configuration file, is not set");
    }

    /** Returns the exception for an address in {@code listen} on which the proxy can't listen. */
    public static InvalidConfigException cannotListen(String address, Throwable cause) {
        return new InvalidConfigException(
                "'listen': cannot listen on " + address + ": " + cause.getMessage(), "listen", address, NONE);
    }

    static InvalidConfigException unreadable(IOException cause) {
        return withoutField("the file cannot be read: " + cause);
    }

    static InvalidConfigException notJson(String reason) {
        return withoutField("the file is not valid JSON: " + reason);
    }

    static InvalidConfigException missing(String field) {
        return new InvalidConfigException("'" + field + "': missing or empty", field, NONE, NONE);
    }

    /** Returns the exception for a text, such as an address, that can't be parsed. */
    static InvalidConfigException malformed(String field, String found, String expected) {
        return new InvalidConfigException(
                "'" + field + "': expected " + expected + ", found '" + found + "'", field, found, expected);
    }

    /** Returns the exception for a value that is missing, of the wrong type or out of range. */
    static InvalidConfigException invalidValue(String field, String found, String expected) {
        return new InvalidConfigException("'" + field + "': expected " + expected, field, found, expected);
    }

    /**
     * Returns the exception for a setting that is missing or invalid.
     *
     * @param reason its message names the setting
     */
    static InvalidConfigException settings(IllegalArgumentException reason) {
        return new InvalidConfigException("'settings': " + reason.getMessage(), "settings", NONE, NONE);
    }

    private static InvalidConfigException withoutField(String message) {
        return new InvalidConfigException(message, NONE, NONE, NONE);
    }

    /**
     * Returns the path of the field at fault, such as {@code limits.sockets}; empty if the problem concerns no field.
     */
    public String field() {
        return field;
    }

    /** Returns the value of the field as text; empty if there is none or only the message contains it. */
    public String found() {
        return found;
    }

    /** Returns what the field has to contain; empty if only the message says so. */
    public String expected() {
        return expected;
    }
}
