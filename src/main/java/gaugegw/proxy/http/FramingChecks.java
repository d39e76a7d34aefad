package gaugegw.proxy.http;

/**
 * The checks that {@link StrictRequestDecoder} and {@link StrictResponseDecoder} add to Netty's decoders. Both sides of
 * a connection must agree on where a message ends: what Netty would repair or tolerate is a decoder failure here, as a
 * guess may let a request be smuggled in the body of another, or give a client a response that no backend has sent.
 */
final class FramingChecks {
    private FramingChecks() {}

    /** RFC 9112, 6.1: a sender of both lengths may be smuggling a second message in the first. */
    static IllegalArgumentException bothLengths() {
        return new IllegalArgumentException("both Content-Length and Transfer-Encoding");
    }

    /**
     * Checks that a header name is followed by a colon, after optional white space. Netty takes the first word of a
     * line without one for a header name with an empty value.
     *
     * @param line the bytes that hold the header line
     * @param nameEnd the index of the first byte behind the name
     * @throws IllegalArgumentException if there is no colon
     */
    static void requireColon(byte[] line, int nameEnd) {
        int i = nameEnd;
        while (i < line.length && isBlank(line[i])) {
            i++;
        }
        if (i >= line.length || line[i] != ':') {
            throw new IllegalArgumentException("a header line without a colon");
        }
    }

    private static boolean isBlank(byte character) {
        return character == ' ' || character == '\t';
    }
}
