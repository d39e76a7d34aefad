package gaugegw.proxy.client;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.function.Function;
import org.junit.jupiter.api.Test;

/** Lookup of the settings' names by the bytes of a header, with one character for each byte. */
class HeaderNamesTest {
    /** A client that writes a name in ISO-8859-1 must not be rejected, nor be taken for one that writes UTF-8. */
    @Test
    void utf8GoesBeforeIso88591() {
        var names = new HeaderNames<>(List.of("\u00c3\u00b1", "\u00f1", "acme"), Function.identity());
        assertThat(names.get("\u00f1")).isEqualTo("\u00f1");
        assertThat(names.get("\u00c3\u00b1")).isEqualTo("\u00f1");
        assertThat(names.get("\u00c3\u0083\u00c2\u00b1")).isEqualTo("\u00c3\u00b1");
        assertThat(names.get("acme")).isEqualTo("acme");
        assertThat(names.get("\u00f2")).isNull();
    }
}
