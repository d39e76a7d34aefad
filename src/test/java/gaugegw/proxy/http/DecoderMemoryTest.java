package gaugegw.proxy.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpObject;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** What decoders and bodies hold of a message that is not complete. */
class DecoderMemoryTest {
    private static final int READ_BUFFER_BYTES = 64 * 1024;

    private final StrictRequestDecoder decoder = new StrictRequestDecoder();
    private final EmbeddedChannel channel = new EmbeddedChannel(decoder);

    private void read(String text) {
        ByteBuf read = Unpooled.directBuffer(READ_BUFFER_BYTES);
        read.writeBytes(text.getBytes(StandardCharsets.ISO_8859_1));
        channel.writeInbound(read);
        for (HttpObject part = channel.readInbound(); part != null; part = channel.readInbound()) {
            ReferenceCountUtil.release(part);
        }
    }

    /** Guards against one byte of a request keeping a read buffer of 64 KiB in use. */
    @Test
    void keepsNoMoreThanTheUndecodedBytes() {
        read("GET / HTTP/1.1\r\n" + "X-Pad: " + "p".repeat(5_000) + "\r\n\r\nG");
        assertThat(decoder.heapBytes()).isEqualTo(1);
    }

    /** Guards against heads of many short lines that hold far more memory than their bytes. */
    @Test
    void countsTheLinesOfAnIncompleteHead() {
        read("GET / HTTP/1.1\r\n" + "a:b\r\n".repeat(1_500));
        assertThat(decoder.heapBytes()).isGreaterThan(1_500 * 144);
        read("\r\n");
        assertThat(decoder.heapBytes()).isZero();
    }

    /** Trailers are held like a head until the request is complete. */
    @Test
    void countsTheLinesOfIncompleteTrailers() {
        read("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + "a:b\r\n".repeat(1_000));
        assertThat(decoder.heapBytes()).isGreaterThan(1_000 * 144);
    }

    /** The sizes of chunks must not add up over a long body: they are not kept. */
    @Test
    void holdsNothingOfCompleteChunks() {
        read("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + "1\r\nx\r\n".repeat(1_000));
        assertThat(decoder.heapBytes()).isLessThan(10);
    }

    /** Guards against bodies of many small parts that hold far more memory than their bytes. */
    @Test
    void bodyOfManyPartsTakesAtMostTwiceItsBytes() {
        var body = new BodyBuffer(HttpLimits.MAX_BODY_BYTES);
        ByteBuf part = Unpooled.wrappedBuffer(new byte[] {'x'});
        for (int i = 1; i <= 5_000; i++) {
            assertThat(body.append(part)).isTrue();
            assertThat(body.capacity()).isLessThanOrEqualTo(Math.max(256, 2 * i));
        }
        ByteBuf collected = body.take();
        assertThat(collected.readableBytes()).isEqualTo(5_000);
        assertThat(body.capacity()).isZero();
        collected.release();
    }

    @Test
    void bodyAcceptsNoPartBeyondTheMaximum() {
        var body = new BodyBuffer(3);
        assertThat(body.append(Unpooled.wrappedBuffer(new byte[3]))).isTrue();
        assertThat(body.append(Unpooled.wrappedBuffer(new byte[1]))).isFalse();
        body.release();
        assertThat(body.capacity()).isZero();
    }
}
