package gaugegw.simulator;

import java.util.Arrays;
import java.util.Map;

/**
 * One message of the wire protocol, parsed from a line: its name and its {@code name=value} fields.
 *
 * <p>To allocate little per event, one object is reused for all lines, and {@link #parse} records only where each field
 * begins and ends; a value is copied out of the line when it is requested. If a field occurs more than once, the
 * getters by key use its first occurrence. Not thread-safe.
 */
final class MessageFields {
    private static final int INITIAL_CAPACITY = 16;

    private String line = "";
    private long lineNumber;
    private int nameEnd;
    private int fieldCount;

    // Positions in the line, by the index of the field; an end is exclusive, and a value begins one past its key's end.
    private int[] keyStart = new int[INITIAL_CAPACITY];
    private int[] keyEnd = new int[INITIAL_CAPACITY];
    private int[] valueEnd = new int[INITIAL_CAPACITY];

    /**
     * Parses a line and replaces the previous message.
     *
     * @param text the line without its line break
     * @param number the number of the line in the input, for error messages
     * @throws MalformedMessageException if anything after the message name is not a {@code name=value} pair
     */
    void parse(String text, long number) {
        line = text;
        lineNumber = number;
        fieldCount = 0;
        nameEnd = endOfToken(0);
        int start = nameEnd + 1;
        while (start < text.length()) {
            int end = endOfToken(start);
            addField(start, end);
            start = end + 1;
        }
    }

    private void addField(int start, int end) {
        int equals = line.indexOf('=', start);
        if (equals <= start || equals >= end) {
            throw MalformedMessageException.of(
                    lineNumber, "malformed field '" + line.substring(start, end) + "', expected name=value");
        }
        if (fieldCount == keyStart.length) {
            keyStart = Arrays.copyOf(keyStart, 2 * fieldCount);
            keyEnd = Arrays.copyOf(keyEnd, 2 * fieldCount);
            valueEnd = Arrays.copyOf(valueEnd, 2 * fieldCount);
        }
        keyStart[fieldCount] = start;
        keyEnd[fieldCount] = equals;
        valueEnd[fieldCount] = end;
        fieldCount++;
    }

    /** Returns the position of the next space at or after a position, or the end of the line. */
    private int endOfToken(int from) {
        int space = line.indexOf(' ', from);
        return space < 0 ? line.length() : space;
    }

    /** Returns the number of the line in the input, from 1. */
    long lineNumber() {
        return lineNumber;
    }

    /** Returns the name of the message. */
    String name() {
        return line.substring(0, nameEnd);
    }

    /** Returns the number of fields. */
    int fieldCount() {
        return fieldCount;
    }

    /** Returns the key of the field at an index; fields are numbered from 0 in the order of the line. */
    String key(int index) {
        return line.substring(keyStart[index], keyEnd[index]);
    }

    /** Returns the value of the field at an index; fields are numbered from 0 in the order of the line. */
    String value(int index) {
        return line.substring(keyEnd[index] + 1, valueEnd[index]);
    }

    /** Returns whether the message has a field, even if its value is empty. */
    boolean has(String key) {
        return indexOf(key) >= 0;
    }

    private int indexOf(String key) {
        int length = key.length();
        for (int i = 0; i < fieldCount; i++) {
            if (keyEnd[i] - keyStart[i] == length && line.startsWith(key, keyStart[i])) {
                return i;
            }
        }
        return -1;
    }

    /** Returns the value of a field, or null if it is absent. Null, because an Optional would allocate. */
    String textOrNull(String key) {
        int index = indexOf(key);
        return index < 0 ? null : value(index);
    }

    /**
     * Returns the value of a field.
     *
     * @throws MalformedMessageException if the field is absent or empty
     */
    String text(String key) {
        String value = textOrNull(key);
        if (value == null || value.isEmpty()) {
            throw MalformedMessageException.missingField(this, key);
        }
        return value;
    }

    /**
     * Returns the value of a field as an integer.
     *
     * @throws MalformedMessageException if the field is absent, or is not an integer of 64 bits
     */
    long longValue(String key) {
        return parseLong(key, text(key));
    }

    /**
     * Returns the value of a field as an integer, or {@code defaultValue} if the field is absent.
     *
     * @throws MalformedMessageException if the field is present and not an integer of 64 bits
     */
    long longValueOr(String key, long defaultValue) {
        String value = textOrNull(key);
        return value == null ? defaultValue : parseLong(key, value);
    }

    /**
     * Returns the value of a field as an integer from 0 to {@link Integer#MAX_VALUE}.
     *
     * @throws MalformedMessageException if the field is absent, is not an integer, or is out of this range
     */
    int nonNegativeInt(String key) {
        long value = longValue(key);
        if (value < 0 || value > Integer.MAX_VALUE) {
            throw MalformedMessageException.invalidValue(this, key, "number", Long.toString(value));
        }
        return (int) value;
    }

    private long parseLong(String key, String value) {
        try {
            return Long.parseLong(value);
        } catch (NumberFormatException e) {
            throw MalformedMessageException.invalidValue(this, key, "number", value);
        }
    }

    /**
     * Returns the value of a field as a finite number, or {@code defaultValue} if the field is absent.
     *
     * @throws MalformedMessageException if the field is present and not a finite number
     */
    double doubleValueOr(String key, double defaultValue) {
        String value = textOrNull(key);
        if (value == null) {
            return defaultValue;
        }
        double number;
        try {
            number = Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw MalformedMessageException.invalidValue(this, key, "number", value);
        }
        if (!Double.isFinite(number)) {
            throw MalformedMessageException.invalidValue(this, key, "number", value);
        }
        return number;
    }

    /**
     * Returns the value of a field as a boolean, or false if the field is absent.
     *
     * @throws MalformedMessageException if the value is none of 0, 1, false and true
     */
    boolean booleanValue(String key) {
        String value = textOrNull(key);
        if (value == null || value.equals("0") || value.equals("false")) {
            return false;
        }
        if (value.equals("1") || value.equals("true")) {
            return true;
        }
        throw MalformedMessageException.invalidValue(this, key, "boolean", value);
    }

    /**
     * Returns the constant that the value of a field names.
     *
     * @param constants the constants by the names that the field may have as its value
     * @throws MalformedMessageException if the field is absent, or its value is none of these names
     */
    <T> T oneOf(String key, Map<String, T> constants) {
        String value = text(key);
        T constant = constants.get(value);
        if (constant == null) {
            throw MalformedMessageException.unknownValue(this, key, value);
        }
        return constant;
    }
}
