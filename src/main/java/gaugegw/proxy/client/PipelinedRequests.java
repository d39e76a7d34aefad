package gaugegw.proxy.client;

import gaugegw.proxy.memory.MemoryUse;
import java.util.ArrayDeque;
import java.util.Queue;

/**
 * The complete requests that a client has sent before receiving the responses to its earlier ones. Up to a fixed
 * number of them wait to be served. The others, the overflow, are released and only counted, so that a client that
 * never reads its responses can't exhaust the memory. Used on the event loop only.
 */
final class PipelinedRequests {
    /**
     * Maximum number of waiting requests per connection. Clients that follow the protocol send one request at a time.
     */
    private static final int MAX_WAITING = 2;

    private final Queue<ClientExchange> waiting = new ArrayDeque<>();
    /** The number of requests in the overflow. Each of them still has to be answered. */
    private int overflowCount;

    /**
     * Queues a request. If the queue is full, or if an earlier request is in the overflow, releases the request and
     * counts it as overflow.
     */
    void add(ClientExchange exchange) {
        if (overflowCount == 0 && waiting.size() < MAX_WAITING) {
            waiting.add(exchange);
        } else {
            exchange.release();
            overflowCount++;
        }
    }

    /** Removes and returns the next waiting request; returns null if there is none. */
    ClientExchange poll() {
        return waiting.poll();
    }

    /** Returns the memory that the waiting requests hold. */
    MemoryUse use() {
        return waiting.stream().map(ClientExchange::use).reduce(MemoryUse.NONE, MemoryUse::plus);
    }

    boolean isEmpty() {
        return waiting.isEmpty() && overflowCount == 0;
    }

    boolean hasOverflow() {
        return overflowCount > 0;
    }

    /** Removes one request from the overflow; to be called when the response to it is created. */
    void removeOneFromOverflow() {
        overflowCount--;
    }

    /** Releases all waiting requests and counts them as overflow, so that none of them is dispatched. */
    void moveWaitingToOverflow() {
        overflowCount += waiting.size();
        releaseWaiting();
    }

    /** Releases all waiting requests without counting them; to be called when the connection is closed. */
    void releaseWaiting() {
        waiting.forEach(ClientExchange::release);
        waiting.clear();
    }
}
