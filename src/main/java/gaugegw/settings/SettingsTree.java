package gaugegw.settings;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.Function;

/**
 * Settings by their paths, such as {@code bounds.cancel}. An item of a list has its index in the path, from 0, and the
 * list has its length at {@code .count}: {@code profiles.count}, {@code profiles.0.name}. Settings that nobody reads are
 * allowed, so that a deployment may have settings that this version does not know. Immutable.
 *
 * <p>The getters throw {@link InvalidSettingException} for a setting that is missing, empty, or of the wrong type.
 */
public final class SettingsTree {
    private static final String COUNT = ".count";

    private static final Map<String, Boolean> BOOLEANS = Map.of("true", true, "1", true, "false", false, "0", false);

    private final Map<String, String> values;

    /** The path of this tree within the settings, empty or with a dot at its end. */
    private final String prefix;

    private SettingsTree(Map<String, String> values, String prefix) {
        this.values = values;
        this.prefix = prefix;
    }

    public static Builder builder() {
        return new Builder();
    }

    /** Returns whether there is a value at a path, possibly an empty one. */
    public boolean has(String path) {
        return values.containsKey(prefix + path);
    }

    public String text(String path) {
        return text(path, "a text");
    }

    private String text(String path, String expected) {
        String value = values.get(prefix + path);
        if (value == null || value.isEmpty()) {
            throw InvalidSettingException.missing(prefix + path, expected);
        }
        return value;
    }

    /** Returns a finite number. */
    public double doubleValue(String path) {
        return finite(path, "a number");
    }

    /** Returns a whole number. It may be written as a decimal, as {@code 4.0}. */
    public long longValue(String path) {
        String expected = "a whole number";
        double value = finite(path, expected);
        if (value != Math.rint(value)) {
            throw InvalidSettingException.badNumber(prefix + path, text(path, expected), expected);
        }
        return (long) value;
    }

    /** As {@link #longValue}. A number beyond 32 bits is not refused: only its low 32 bits are returned. */
    public int intValue(String path) {
        return (int) longValue(path);
    }

    private double finite(String path, String expected) {
        String text = text(path, expected);
        double value;
        try {
            value = Double.parseDouble(text);
        } catch (NumberFormatException e) {
            throw InvalidSettingException.badNumber(prefix + path, text, expected);
        }
        if (!Double.isFinite(value)) {
            throw InvalidSettingException.badNumber(prefix + path, text, expected);
        }
        return value;
    }

    /** Returns a truth value: {@code true} or {@code 1}, {@code false} or {@code 0}. */
    public boolean booleanValue(String path) {
        return oneOf(path, BOOLEANS);
    }

    /** As {@link #booleanValue}, with a value for a missing setting. */
    public boolean booleanValueOr(String path, boolean ifMissing) {
        return has(path) ? booleanValue(path) : ifMissing;
    }

    /**
     * Returns what the value of a setting stands for.
     *
     * @param meanings all values that the setting may have
     */
    public <T> T oneOf(String path, Map<String, T> meanings) {
        String value = values.get(prefix + path);
        if (value == null || value.isEmpty()) {
            throw InvalidSettingException.missing(prefix + path, oneOf(meanings));
        }
        T meaning = meanings.get(value);
        if (meaning == null) {
            throw InvalidSettingException.unknownValue(prefix + path, value, oneOf(meanings));
        }
        return meaning;
    }

    private static String oneOf(Map<String, ?> meanings) {
        return "one of " + new TreeSet<>(meanings.keySet());
    }

    /**
     * Reads the items of a list one after the other, in its order.
     *
     * @param reader reads one item from the tree of its own settings
     */
    public <T> List<T> items(String path, Function<SettingsTree, T> reader) {
        long count = longValue(path + COUNT);
        var items = new ArrayList<T>();
        for (int i = 0; i < count; i++) {
            items.add(reader.apply(new SettingsTree(values, prefix + path + "." + i + ".")));
        }
        return items;
    }

    /** As {@link #items}, with no items where the list is missing. */
    public <T> List<T> itemsIfPresent(String path, Function<SettingsTree, T> reader) {
        return has(path + COUNT) ? items(path, reader) : List.of();
    }

    /** Collects settings; a later value of a path replaces an earlier one. */
    public static final class Builder {
        private final Map<String, String> values = new HashMap<>();

        private Builder() {}

        /** Adds a value at its path from the root. */
        public Builder put(String path, String value) {
            values.put(path, value);
            return this;
        }

        /** Adds the length of the list at a path. */
        public Builder putCount(String path, int count) {
            return put(path + COUNT, Integer.toString(count));
        }

        public SettingsTree build() {
            return new SettingsTree(Map.copyOf(values), "");
        }
    }
}
