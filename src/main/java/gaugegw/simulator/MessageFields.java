package gaugegw.simulator;

import java.util.Arrays;
import java.util.Map;

/**
 * One line of the wire: the name of a message and its name=value pairs. One object is reused from line to line, and
 * values are cut out of the line only when they are asked for, so that reading an event allocates little. A field that
 * occurs twice has the first of its values. Not thread-safe.
 */
final class MessageFields {
    private static final int INITIAL_CAPACITY = 16;

    private String line = "";
    private long lineNumber;
    private int nameEnd;
    private int count;
    private int[] keyStart = new int[INITIAL_CAPACITY];
    private int[] keyEnd = new int[INITIAL_CAPACITY];
    private int[] valueEnd = new int[INITIAL_CAPACITY];

    /**
     * Reads a line in place of the previous one.
     *
     * @param number the number of the line in the input, for errors
     * @throws MalformedMessageException if a part of the line is no name=value pair
     */
    void read(String text, long number) {
        line = text;
        lineNumber = number;
        count = 0;
        nameEnd = endOfPart(0);
        int start = nameEnd + 1;
        while (start < text.length()) {
            int end = endOfPart(start);
            addField(start, end);
            start = end + 1;
        }
    }

    private void addField(int start, int end) {
        int equals = line.indexOf('=', start);
        if (equals <= start || equals >= end) {
            throw MalformedMessageException.of(lineNumber, "malformed field '" + line.substring(start, end) + "'");
        }
        if (count == keyStart.length) {
            keyStart = Arrays.copyOf(keyStart, 2 * count);
            keyEnd = Arrays.copyOf(keyEnd, 2 * count);
            valueEnd = Arrays.copyOf(valueEnd, 2 * count);
        }
        keyStart[count] = start;
        keyEnd[count] = equals;
        valueEnd[count] = end;
        count++;
    }

    private int endOfPart(int from) {
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
    int size() {
        return count;
    }

    /** Returns the key of a field by its index, in the order of the line. */
    String key(int index) {
        return line.substring(keyStart[index], keyEnd[index]);
    }

    /** Returns the value of a field by its index, in the order of the line. */
    String value(int index) {
        return line.substring(keyEnd[index] + 1, valueEnd[index]);
    }

    /** Returns whether the line has a field, possibly with an empty value. */
    boolean has(String key) {
        return indexOf(key) >= 0;
    }

    private int indexOf(String key) {
        int length = key.length();
        for (int i = 0; i < count; i++) {
            if (keyEnd[i] - keyStart[i] == length && line.startsWith(key, keyStart[i])) {
                return i;
            }
        }
        return -1;
    }

    /** Returns the value of a field, or null where it is absent; null because an Optional would allocate. */
    String textOrNull(String key) {
        int index = indexOf(key);
        return index < 0 ? null : value(index);
    }

    /**
     * Returns the value of a field.
     *
     * @throws MalformedMessageException if it is absent or empty
     */
    String text(String key) {
        String value = textOrNull(key);
        if (value == null || value.isEmpty()) {
            throw MalformedMessageException.missingField(this, key);
        }
        return value;
    }

    /**
     * Returns the value of a field as a whole number.
     *
     * @throws MalformedMessageException if it is absent or no such number
     */
    long longValue(String key) {
        return parseLong(key, text(key));
    }

    /** As {@link #longValue}, with a value for an absent field. */
    long longValueOr(String key, long ifAbsent) {
        String value = textOrNull(key);
        return value == null ? ifAbsent : parseLong(key, value);
    }

    /**
     * Returns the value of a field as a number from 0 to {@link Integer#MAX_VALUE}.
     *
     * @throws MalformedMessageException if it is absent or no such number
     */
    int nonNegativeInt(String key) {
        long value = longValue(key);
        if (value < 0 || value > Integer.MAX_VALUE) {
            throw MalformedMessageException.badValue(this, key, "number", Long.toString(value));
        }
        return (int) value;
    }

    private long parseLong(String key, String value) {
        try {
            return Long.parseLong(value);
        } catch (NumberFormatException e) {
            throw MalformedMessageException.badValue(this, key, "number", value);
        }
    }

    /**
     * Returns the value of a field as a finite number, with a value for an absent field.
     *
     * @throws MalformedMessageException if it is no such number
     */
    double doubleValueOr(String key, double ifAbsent) {
        String value = textOrNull(key);
        if (value == null) {
            return ifAbsent;
        }
        double number;
        try {
            number = Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw MalformedMessageException.badValue(this, key, "number", value);
        }
        if (!Double.isFinite(number)) {
            throw MalformedMessageException.badValue(this, key, "number", value);
        }
        return number;
    }

    /**
     * Returns the value of a field as a truth value; an absent field is false.
     *
     * @throws MalformedMessageException if it is none of 0, 1, false and true
     */
    boolean booleanValue(String key) {
        String value = textOrNull(key);
        if (value == null || value.equals("0") || value.equals("false")) {
            return false;
        }
        if (value.equals("1") || value.equals("true")) {
            return true;
        }
        throw MalformedMessageException.badValue(this, key, "bool", value);
    }

    /**
     * Returns what the value of a field stands for.
     *
     * @param meanings all values that the field may have
     * @throws MalformedMessageException if it is absent or none of these
     */
    <T> T oneOf(String key, Map<String, T> meanings) {
        String value = text(key);
        T meaning = meanings.get(value);
        if (meaning == null) {
            throw MalformedMessageException.unknownValue(this, key, value);
        }
        return meaning;
    }
}
