package gaugegw.proxy.http;

/**
 * Checks that {@link StrictRequestDecoder} and {@link StrictResponseDecoder} add to Netty's decoders. Both ends of a
 * connection must agree on where a message ends. Where Netty would repair or tolerate an ambiguous message, decoding
 * fails instead: a wrong guess could let a request be smuggled in the body of another one, or give a client a response
 * that no backend has sent.
 */
final class FramingChecks {
    private FramingChecks() {}

    /**
     * Returns the exception for a message with both Content-Length and Transfer-Encoding. RFC 9112, section 6.1: such a
     * message may be an attempt to smuggle a second message in the first.
     */
    static IllegalArgumentException bothLengths() {
        return new IllegalArgumentException("message has both Content-Length and Transfer-Encoding");
    }

    /**
     * Checks that a header name is followed by a colon, optionally after spaces or tabs. If a line has no colon, Netty
     * takes its first word for the name of a header with an empty value.
     *
     * @param line the bytes that contain the header line
     * @param nameEnd the index of the first byte after the name
     * @throws IllegalArgumentException if there is no colon
     */
    static void requireColon(byte[] line, int nameEnd) {
        int i = nameEnd;
        while (i < line.length && isBlank(line[i])) {
            i++;
        }
        if (i >= line.length || line[i] != ':') {
            throw new IllegalArgumentException("header line has no colon after the header name");
        }
    }

    private static boolean isBlank(byte character) {
        return character == ' ' || character == '\t';
    }
}
