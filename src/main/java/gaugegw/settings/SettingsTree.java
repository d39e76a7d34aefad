package gaugegw.settings;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.Function;

/**
 * An immutable map from the paths of settings, such as {@code bounds.cancel}, to their values. The path of a list item
 * contains its index, from 0, and the length of a list is at {@code .count}: {@code profiles.0.name}, {@code
 * profiles.count}. Settings that are never read are ignored, so that a deployment may contain settings that this
 * version does not know.
 *
 * <p>The getters throw {@link InvalidSettingException} if a setting is missing, empty, or of the wrong type.
 */
public final class SettingsTree {
    private static final String COUNT = ".count";

    private static final Map<String, Boolean> BOOLEANS = Map.of("true", true, "1", true, "false", false, "0", false);

    private final Map<String, String> values;

    /** The path of this tree from the root, ending with a dot, or empty for the root. */
    private final String prefix;

    private SettingsTree(Map<String, String> values, String prefix) {
        this.values = values;
        this.prefix = prefix;
    }

    public static Builder builder() {
        return new Builder();
    }

    /** Returns whether there is a value at a path, even if it is empty. */
    public boolean has(String path) {
        return values.containsKey(prefix + path);
    }

    public String text(String path) {
        return text(path, "a string");
    }

    private String text(String path, String expected) {
        String value = values.get(prefix + path);
        if (value == null || value.isEmpty()) {
            throw InvalidSettingException.missing(prefix + path, expected);
        }
        return value;
    }

    /** Returns the value of a setting that must be a finite number. */
    public double doubleValue(String path) {
        return finiteNumber(path, "a number");
    }

    /**
     * Returns the value of a setting that must be a whole number. It may be written with decimals, as in {@code 4.0}.
     */
    public long longValue(String path) {
        String expected = "a whole number";
        double value = finiteNumber(path, expected);
        if (value != Math.rint(value)) {
            throw InvalidSettingException.badNumber(prefix + path, text(path, expected), expected);
        }
        return (long) value;
    }

    /** As {@link #longValue}, but returns only the low 32 bits. A number that needs more bits is not an error. */
    public int intValue(String path) {
        return (int) longValue(path);
    }

    private double finiteNumber(String path, String expected) {
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

    /** Returns the value of a setting that must be {@code true} or {@code 1}, or {@code false} or {@code 0}. */
    public boolean booleanValue(String path) {
        return oneOf(path, BOOLEANS);
    }

    /** As {@link #booleanValue}, but returns a default if the setting is missing. */
    public boolean booleanValueOr(String path, boolean defaultValue) {
        return has(path) ? booleanValue(path) : defaultValue;
    }

    /**
     * Returns what the value of a setting stands for.
     *
     * @param meanings the allowed values, each with what it stands for
     */
    public <T> T oneOf(String path, Map<String, T> meanings) {
        String value = values.get(prefix + path);
        if (value == null || value.isEmpty()) {
            throw InvalidSettingException.missing(prefix + path, describeAllowed(meanings));
        }
        T meaning = meanings.get(value);
        if (meaning == null) {
            throw InvalidSettingException.unknownValue(prefix + path, value, describeAllowed(meanings));
        }
        return meaning;
    }

    private static String describeAllowed(Map<String, ?> meanings) {
        return "one of " + new TreeSet<>(meanings.keySet());
    }

    /**
     * Reads the items of a list, in order.
     *
     * @param reader reads one item from a tree whose paths are relative to the item
     */
    public <T> List<T> items(String path, Function<SettingsTree, T> reader) {
        long count = longValue(path + COUNT);
        var items = new ArrayList<T>();
        for (int i = 0; i < count; i++) {
            items.add(reader.apply(new SettingsTree(values, prefix + path + "." + i + ".")));
        }
        return items;
    }

    /** As {@link #items}, but returns an empty list if the list is missing. */
    public <T> List<T> itemsIfPresent(String path, Function<SettingsTree, T> reader) {
        return has(path + COUNT) ? items(path, reader) : List.of();
    }

    /** Builds a tree. A later value for a path replaces an earlier one. */
    public static final class Builder {
        private final Map<String, String> values = new HashMap<>();

        private Builder() {}

        /** Adds a value at a path from the root. */
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
