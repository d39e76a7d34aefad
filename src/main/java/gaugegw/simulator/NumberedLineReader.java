package gaugegw.simulator;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;

/** Reads lines of UTF-8 text and numbers them from 1. Does not close the stream, which belongs to the caller. */
final class NumberedLineReader {
    private static final int BUFFER_CHARS = 1 << 16;

    private final BufferedReader input;
    private String line = "";
    private long lineNumber;

    NumberedLineReader(InputStream in) {
        input = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), BUFFER_CHARS);
    }

    /**
     * Advances to the next line. At the end of the input, the line number still increases by one, so that an error
     * reported there names the line after the last.
     *
     * @return whether there is a next line
     */
    boolean advance() throws IOException {
        lineNumber++;
        String read = input.readLine();
        line = read == null ? "" : read;
        return read != null;
    }

    /** Returns the current line without its line break; empty before the first line and at the end of the input. */
    String line() {
        return line;
    }

    /** Returns the number of the current line, from 1. */
    long lineNumber() {
        return lineNumber;
    }
}
