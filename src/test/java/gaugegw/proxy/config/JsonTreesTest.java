package gaugegw.proxy.config;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import gaugegw.proxy.testing.ProxyFixture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Jackson's mapper is the reference: the reader gives the same trees and rejects the same documents. */
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
    void readsWhatTheMapperReads(String text) throws Exception {
        // As text: an int and a long of the same value are different nodes.
        assertThat(ProxyFixture.parseJson(text).toString())
                .isEqualTo(new ObjectMapper().readTree(text).toString());
        assertThat(ProxyFixture.parseJson(text).getNodeType())
                .isEqualTo(new ObjectMapper().readTree(text).getNodeType());
    }

    /** A document ends early or has a token out of place. It is rejected as no JSON, not read in part. */
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
