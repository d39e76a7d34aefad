package gaugegw.proxy.config;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import gaugegw.proxy.testing.ProxyFixture;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
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

    /** The elements of the streamed array are those of the whole tree, and the rest of the document is as without it. */
    @Test
    void streamsTheElementsOfOneArray() throws Exception {
        var elements = new ArrayList<String>();
        String text = "{\"version\":7,\"servers\":[{\"servers\":[1]},[2],3],\"full\":true,\"other\":[4]}";
        JsonNode rest = JsonTrees.readStreaming(stream(text), "servers", e -> elements.add(e.toString()));
        assertThat(elements).containsExactly("{\"servers\":[1]}", "[2]", "3");
        assertThat(rest.toString()).isEqualTo("{\"version\":7,\"servers\":[],\"full\":true,\"other\":[4]}");
    }

    @ParameterizedTest
    @ValueSource(strings = {"[1,2]", "{\"servers\":{\"a\":[1]}}", "{\"servers\":null}", "7", "", "{}"})
    void streamsNothingElse(String text) throws Exception {
        JsonNode tree = JsonTrees.readStreaming(stream(text), "servers", e -> {
            throw new AssertionError("streamed " + e);
        });
        assertThat(tree.toString()).isEqualTo(ProxyFixture.parseJson(text).toString());
    }

    @ParameterizedTest
    @ValueSource(strings = {"{", "{\"servers\":[1", "{\"servers\":[1,]}", "{\"servers\":[1]", "{\"servers\"}"})
    void rejectsMalformedDocumentsThatAreStreamed(String text) {
        assertThatThrownBy(() -> JsonTrees.readStreaming(stream(text), "servers", e -> {}))
                .isInstanceOf(JsonProcessingException.class);
    }

    /** Guards against a long endpoint list whose tree needs more memory than the process has. */
    @Test
    void streamsAnElementBeforeTheRestIsRead() throws Exception {
        String text = "{\"servers\":[" + "{\"id\":\"s\"},".repeat(100_000) + "0]}";
        InputStream document = stream(text);
        var unreadAtFirst = new ArrayList<Integer>();
        JsonTrees.readStreaming(document, "servers", e -> {
            if (unreadAtFirst.isEmpty()) {
                unreadAtFirst.add(available(document));
            }
        });
        assertThat(unreadAtFirst.get(0)).isGreaterThan(text.length() - 64 * 1024);
    }

    private static InputStream stream(String text) {
        return new ByteArrayInputStream(text.getBytes(StandardCharsets.UTF_8));
    }

    private static int available(InputStream stream) {
        try {
            return stream.available();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
