package gaugegw.simulator.workload;

import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.function.Supplier;

/** A stream of batches, each of which is made when the one before has been read to its end. */
final class BatchInputStream extends InputStream {
    private final Supplier<Optional<String>> nextBatch;
    private byte[] bytes = {};
    private int position;

    /** Creates a stream that ends when the supplier returns empty. */
    BatchInputStream(Supplier<Optional<String>> nextBatch) {
        this.nextBatch = nextBatch;
    }

    @Override
    public int read() {
        throw new UnsupportedOperationException("read in arrays: a batch at a time");
    }

    @Override
    public int read(byte[] target, int offset, int length) {
        if (position == bytes.length) {
            Optional<String> batch = nextBatch.get();
            if (batch.isEmpty()) {
                return -1;
            }
            bytes = batch.get().getBytes(StandardCharsets.UTF_8);
            position = 0;
        }
        int count = Math.min(length, bytes.length - position);
        System.arraycopy(bytes, position, target, offset, count);
        position += count;
        return count;
    }
}
