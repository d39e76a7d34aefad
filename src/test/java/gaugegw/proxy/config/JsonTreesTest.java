package gaugegw.proxy.config;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import gaugegw.proxy.testing.ProxyFixture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Compares the parser with Jackson's {@code ObjectMapper}: same trees for valid documents, an exception for invalid
 * ones.
 */
class JsonTreesTest {
    @ParameterizedTest
    @ValueSource(
            strings = {
                "{\"a\":{\"b\":[1,-2.5,\"x\\u00e9\",true,false,null,{},[]]},\"a2\":9007199254740993}",
                "[]",
                "\"s\"",
                "7",
                "1e3",
                "123456789012345678901234567890",
                "null",
                "",
                "  ",
                "{\"a\":1,\"a\":2}"
            })
    void returnsTheSameTreeAsTheMapper(String text) throws Exception {
        // Compared as text, because an int and a long of the same value are different nodes.
        assertThat(ProxyFixture.parseJson(text).toString())
                .isEqualTo(new ObjectMapper().readTree(text).toString());
        assertThat(ProxyFixture.parseJson(text).getNodeType())
                .isEqualTo(new ObjectMapper().readTree(text).getNodeType());
    }

    /**
     * A document ends early or contains a misplaced token. It is rejected as invalid JSON instead of being read in
     * part.
     */
    @ParameterizedTest
    @ValueSource(strings = {"{", "[1", "{\"a\"}", "{\"a\":}", "]", "}", "nul", "[1,]", "{\"a\":1", "not JSON"})
    void rejectsMalformedDocuments(String text) {
        assertThatThrownBy(() -> ProxyFixture.parseJson(text)).isInstanceOf(JsonProcessingException.class);
    }

    /** A document nests a hundred thousand arrays. It is rejected before the recursion overflows the stack. */
    @Test
    void limitsNesting() {
        assertThatThrownBy(() -> ProxyFixture.parseJson("[".repeat(100_000)))
                .isInstanceOf(JsonProcessingException.class);
    }
}
