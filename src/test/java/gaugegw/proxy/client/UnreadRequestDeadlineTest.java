package gaugegw.proxy.client;

import static org.assertj.core.api.Assertions.assertThat;

import gaugegw.proxy.testing.ProxyFixture;
import gaugegw.proxy.testing.RawConnection;
import gaugegw.proxy.testing.ScriptedServer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests that are lost while their connection waits to be read, because they are expensive to decode:
 * they must be rejected at their deadline, not when the time limit of requests that the client has not completed ends.
 */
class UnreadRequestDeadlineTest {
    private static final int OTHER_CLIENTS = 300;
    private static final int REQUESTS = 20;
    private static final String CHUNKED = "Transfer-Encoding: chunked\r\n\r\n";
    private static final String CHUNK = "1\r\nx\r\n";

    @Test
    void rejectsRequestsWhoseBodyIsNotReadInTime() throws Exception {
        assertThat(responsesTo(CHUNKED + CHUNK.repeat(60_000) + "0\r\n\r\n"))
                .containsKey(503)
                .doesNotContainKey(408);
    }

    /**
     * Sends requests with a given end while other clients send bodies in chunks of one byte. Returns the number of
     * responses by their status.
     */
    private static Map<Integer, Integer> responsesTo(String endOfRequest) throws Exception {
        var clients = new ArrayList<RawConnection>();
        var responses = new HashMap<Integer, Integer>();
        try (var backend = new ScriptedServer();
                var proxy = ProxyFixture.withRealLoadBalancer(backend)) {
            backend.respondToAll(ScriptedServer.ok("served"));
            for (int i = 0; i < OTHER_CLIENTS; i++) {
                clients.add(send(proxy, request("other" + i, CHUNKED + CHUNK.repeat(60_000))));
            }
            List<RawConnection> senders = new ArrayList<>();
            for (int i = 0; i < REQUESTS; i++) {
                senders.add(send(proxy, request("r" + i, endOfRequest)));
            }
            clients.addAll(senders);
            for (RawConnection sender : senders) {
                responses.merge(sender.read().status(), 1, Integer::sum);
            }
        } finally {
            for (RawConnection client : clients) {
                client.close();
            }
        }
        return responses;
    }

    /** Sends a request in the background, as the proxy may not read it to its end. */
    private static RawConnection send(ProxyFixture proxy, String request) throws IOException {
        RawConnection client = proxy.connectClient();
        ScriptedServer.runInBackground(() -> client.send(request));
        return client;
    }

    private static String request(String id, String end) {
        String post = ProxyFixture.post(id, "");
        return post.substring(0, post.indexOf("Content-Length")).replace("1900m", "600m") + end;
    }
}
