package gaugegw.settings;

import java.util.Optional;

/** Thrown when a setting is missing or has an invalid value. The message is for operators and names the setting. */
public final class InvalidSettingException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    private final String path;
    private final String value;
    private final String expected;

    private InvalidSettingException(String message, String path, String value, String expected) {
        super(message);
        this.path = path;
        this.value = value;
        this.expected = expected;
    }

    static InvalidSettingException missing(String path, String expected) {
        return new InvalidSettingException("missing setting '" + path + "'", path, null, expected);
    }

    static InvalidSettingException badNumber(String path, String value, String expected) {
        return new InvalidSettingException(
                "bad number '" + value + "' in setting '" + path + "'", path, value, expected);
    }

    static InvalidSettingException unknownValue(String path, String value, String expected) {
        return new InvalidSettingException(
                "unknown value '" + value + "' in setting '" + path + "'", path, value, expected);
    }

    /** Returns the path of the setting, such as {@code bounds.cancel}. */
    public String path() {
        return path;
    }

    /** Returns the invalid value, or empty if the setting is missing. */
    public Optional<String> value() {
        return Optional.ofNullable(value);
    }

    /** Returns a description of the values that are allowed, such as "a whole number". */
    public String expected() {
        return expected;
    }
}
