package gaugegw.proxy.http;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Iterator;
import java.util.Map;

/** Estimates the memory that messages hold. Stateless. */
public final class MessageSize {
    /**
     * Memory for one header line besides its characters, in bytes: the entry, its name and its value, each of the
     * latter with an array, and what is lost by alignment. This applies to 64-bit runtimes with compressed pointers.
     */
    static final long HEADER_LINE_BYTES = 160;

    private MessageSize() {}

    /** Returns the memory that headers hold on the Java heap, in bytes. */
    public static long heapBytes(HttpHeaders headers) {
        long bytes = 0;
        Iterator<Map.Entry<CharSequence, CharSequence>> lines = headers.iteratorCharSequence();
        while (lines.hasNext()) {
            Map.Entry<CharSequence, CharSequence> line = lines.next();
            bytes +=
                    HEADER_LINE_BYTES + line.getKey().length() + line.getValue().length();
        }
        return bytes;
    }
}
