package gaugegw.simulator;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;

/** Reads lines of UTF-8 and counts them from 1. The caller keeps and closes the stream. */
final class NumberedLines {
    private static final int BUFFER_CHARS = 1 << 16;

    private final BufferedReader reader;
    private String line = "";
    private long number;

    NumberedLines(InputStream in) {
        reader = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), BUFFER_CHARS);
    }

    /** Moves to the next line; returns false at the end of the input, which counts as one line more. */
    boolean next() throws IOException {
        number++;
        String read = reader.readLine();
        line = read == null ? "" : read;
        return read != null;
    }

    /** Returns the current line without its line break. */
    String line() {
        return line;
    }

    /** Returns the number of the current line. */
    long number() {
        return number;
    }
}
