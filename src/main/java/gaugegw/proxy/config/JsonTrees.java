package gaugegw.proxy.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.node.ValueNode;
import java.io.IOException;
import java.io.InputStream;
import java.util.function.Consumer;

/**
 * Parses JSON documents into Jackson's tree nodes, as Jackson's {@code ObjectMapper} does. The mapper would delay the
 * start of a process: it first sets up date formats, locales and the introspection of beans, none of which is used
 * here.
 */
public final class JsonTrees {
    private static final JsonFactory FACTORY = new JsonFactory();
    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

    private JsonTrees() {}

    /** Creates an empty object. */
    public static ObjectNode object() {
        return NODES.objectNode();
    }

    /**
     * Parses a document and closes the stream.
     *
     * @return the root value of the document, or a {@link MissingNode} if it is empty
     * @throws com.fasterxml.jackson.core.JsonProcessingException if it is not valid JSON or nested too deeply
     * @throws IOException if it can't be read
     */
    public static JsonNode read(InputStream document) throws IOException {
        try (JsonParser parser = FACTORY.createParser(document)) {
            return parser.nextToken() == null ? MissingNode.getInstance() : value(parser);
        }
    }

    /**
     * Parses a document as {@link #read(InputStream)} does, except for the elements of one array. They are passed to a
     * handler one by one and are not part of the result, so the memory for a long array is that of its largest element.
     *
     * @param field the name of a field of the root object; if its value is an array, the result has an empty array there
     * @param elementHandler receives the elements of the array in order, before it is known whether the rest of the
     *     document is valid
     * @return the root value of the document, or a {@link MissingNode} if it is empty
     * @throws com.fasterxml.jackson.core.JsonProcessingException if it is not valid JSON or nested too deeply
     * @throws IOException if it can't be read
     */
    public static JsonNode readStreaming(InputStream document, String field, Consumer<JsonNode> elementHandler)
            throws IOException {
        try (JsonParser parser = FACTORY.createParser(document)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                return parser.currentToken() == null ? MissingNode.getInstance() : value(parser);
            }
            ObjectNode root = NODES.objectNode();
            while (parser.nextToken() != JsonToken.END_OBJECT) {
                String name = parser.currentName();
                boolean streamed = parser.nextToken() == JsonToken.START_ARRAY && name.equals(field);
                root.set(name, streamed ? streamedArray(parser, elementHandler) : value(parser));
            }
            return root;
        }
    }

    private static ArrayNode streamedArray(JsonParser parser, Consumer<JsonNode> elementHandler) throws IOException {
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            elementHandler.accept(value(parser));
        }
        return NODES.arrayNode();
    }

    /** Parses the value at the current token. The parser's limit on nesting also limits the recursion. */
    private static JsonNode value(JsonParser parser) throws IOException {
        return switch (parser.currentToken()) {
            case START_OBJECT -> object(parser);
            case START_ARRAY -> array(parser);
            case VALUE_STRING -> NODES.textNode(parser.getText());
            case VALUE_NUMBER_INT -> integer(parser);
            case VALUE_NUMBER_FLOAT -> NODES.numberNode(parser.getDoubleValue());
            case VALUE_TRUE, VALUE_FALSE -> NODES.booleanNode(parser.getBooleanValue());
            case VALUE_NULL -> NODES.nullNode();
            default -> throw new JsonParseException(parser, "expected a value");
        };
    }

    private static ObjectNode object(JsonParser parser) throws IOException {
        ObjectNode object = NODES.objectNode();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            parser.nextToken();
            object.set(name, value(parser));
        }
        return object;
    }

    private static ArrayNode array(JsonParser parser) throws IOException {
        ArrayNode array = NODES.arrayNode();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            array.add(value(parser));
        }
        return array;
    }

    private static ValueNode integer(JsonParser parser) throws IOException {
        return parser.getNumberType() == JsonParser.NumberType.BIG_INTEGER
                ? NODES.numberNode(parser.getBigIntegerValue())
                : NODES.numberNode(parser.getLongValue());
    }
}
