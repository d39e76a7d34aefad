package gaugegw.proxy.client;

import static org.assertj.core.api.Assertions.assertThat;

import gaugegw.proxy.testing.ProxyFixture;
import gaugegw.proxy.testing.RawConnection;
import gaugegw.proxy.testing.ReadyProxyProcess;
import gaugegw.proxy.testing.ScriptedServer;
import java.io.IOException;
import java.net.SocketException;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.IntFunction;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Requests that are expensive to decode must not keep other clients waiting. */
class ExpensiveRequestTest {
    private static final int EXPENSIVE_CLIENTS = 400;
    private static final int STOPPING_CLIENTS = 50;
    private static final int REQUESTS = 30;
    private static final int DEADLINE_MS = 1_200;
    /** A response that comes later than this after the deadline is lost. */
    private static final int LATE_RESPONSE_MS = 500;

    /** Guards against clients that get no response in time while others send bodies in chunks of one byte. */
    @ParameterizedTest
    @Timeout(90)
    @ValueSource(strings = {"chunks", "header lines"})
    void servesOtherClientsInTime(String kind, @TempDir Path folder) throws Exception {
        var ended = new AtomicBoolean();
        try (var proxy = new ReadyProxyProcess(folder, "ulimit -n 1024; ")) {
            proxy.backend.respondToAll(ScriptedServer.ok("served"));
            startClients(proxy.port, EXPENSIVE_CLIENTS, i -> expensiveRequest(kind, i), ended);
            sendRequests(proxy, ProxyFixture::get);
        } finally {
            ended.set(true);
        }
    }

    /** Guards against requests in a few hundred chunks that are lost while others send bodies in chunks of one byte. */
    @Test
    @Timeout(90)
    void servesRequestsInManyChunksInTime(@TempDir Path folder) throws Exception {
        var ended = new AtomicBoolean();
        try (var proxy = new ReadyProxyProcess(folder, "ulimit -n 1024; ")) {
            proxy.backend.respondToAll(ScriptedServer.ok("served"));
            startClients(proxy.port, STOPPING_CLIENTS, i -> head("stopping" + i) + "1\r\nx\r\n".repeat(60_000), ended);
            String body = ("64\r\n" + "x".repeat(100) + "\r\n").repeat(600) + "0\r\n\r\n";
            sendRequests(proxy, id -> head(id) + body);
        } finally {
            ended.set(true);
        }
    }

    /** Starts clients that send one request each, again and again until the end, and waits until all have connected. */
    private static void startClients(int port, int clients, IntFunction<String> requestOf, AtomicBoolean ended)
            throws InterruptedException {
        var connected = new CountDownLatch(clients);
        for (int i = 0; i < clients; i++) {
            String request = requestOf.apply(i);
            ScriptedServer.runInBackground(() -> sendAgainAndAgain(port, request, connected, ended));
        }
        connected.await();
    }

    /** Sends requests one after the other, on a new connection where a response says that the last one closes. */
    private static void sendRequests(ReadyProxyProcess proxy, UnaryOperator<String> requestWithId) throws IOException {
        RawConnection client = RawConnection.connectTo(proxy.port);
        try {
            for (int i = 0; i < REQUESTS; i++) {
                client.socket.setSoTimeout(DEADLINE_MS + LATE_RESPONSE_MS);
                String request = requestWithId.apply("other" + i).replace("1900m", DEADLINE_MS + "m");
                RawConnection.Message response = client.send(request).read();
                assertThat(response)
                        .as(() -> String.join("\n", proxy.process.log()))
                        .isNotNull();
                assertThat(response.status()).isEqualTo(200);
                if ("close".equals(response.header("Connection"))) {
                    client.close();
                    client = RawConnection.connectTo(proxy.port);
                }
            }
        } finally {
            client.close();
        }
    }

    private static String expensiveRequest(String kind, int number) {
        String id = "expensive" + number;
        return kind.equals("chunks")
                ? head(id) + "1\r\nx\r\n".repeat(20_000) + "0\r\n\r\n"
                : incompleteHead(id) + "a:b\r\n".repeat(1_500);
    }

    private static String head(String id) {
        return incompleteHead(id) + "Transfer-Encoding: chunked\r\n\r\n";
    }

    private static String incompleteHead(String id) {
        String post = ProxyFixture.post(id, "");
        return post.substring(0, post.indexOf("Content-Length"));
    }

    private static void sendAgainAndAgain(int port, String request, CountDownLatch connected, AtomicBoolean ended)
            throws IOException {
        while (!ended.get()) {
            try (RawConnection client = RawConnection.connectTo(port)) {
                connected.countDown();
                client.send(request);
                client.awaitCloseSkippingData();
            } catch (SocketException e) {
                // The proxy has closed the connection while the request was being sent.
            }
        }
    }
}
