package gaugegw.proxy.client;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Function;

/**
 * Finds entries of the settings by the name that a header carries. The settings are Unicode text; the decoder returns a
 * header value with one character for each byte. A name with characters outside ASCII is found by its bytes in UTF-8 and,
 * unless these are the bytes of another name, by those in ISO-8859-1. Immutable.
 *
 * @param <T> the type of the entries
 */
final class HeaderNames<T> {
    private final Map<String, T> byHeaderValue = new HashMap<>();

    HeaderNames(Collection<T> entries, Function<T, String> name) {
        for (T entry : entries) {
            byHeaderValue.put(inUtf8(name.apply(entry)), entry);
        }
        for (T entry : entries) {
            byHeaderValue.putIfAbsent(name.apply(entry), entry);
        }
    }

    /** Returns the header value that carries a name in UTF-8; the name itself, not a copy, if it is ASCII. */
    private static String inUtf8(String name) {
        String value = new String(name.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
        return value.equals(name) ? name : value;
    }

    boolean isEmpty() {
        return byHeaderValue.isEmpty();
    }

    /** Returns the entry that a header value names, or null if there is none. */
    T get(String headerValue) {
        return byHeaderValue.get(headerValue);
    }
}
