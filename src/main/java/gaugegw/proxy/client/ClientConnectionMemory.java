package gaugegw.proxy.client;

import gaugegw.proxy.memory.MemoryAccount;
import gaugegw.proxy.memory.MemoryHolder;
import gaugegw.proxy.memory.MemoryUse;
import gaugegw.proxy.memory.ShedStage;
import gaugegw.proxy.transport.PendingWrites;
import io.netty.channel.Channel;

/**
 * Reports the memory that the messages of a {@link ClientConnection} hold, and makes the connection give up requests
 * that have not been dispatched when all connections together hold too much. Used on the event loop only.
 */
final class ClientConnectionMemory implements MemoryHolder {
    private final ClientContext context;
    private final ClientConnection connection;
    private final Channel channel;
    private final RequestAggregator aggregator;
    private final PipelinedRequests pipelinedRequests;
    private final MemoryAccount account;

    /** Opens the account of a connection, which must {@link #close} it. */
    ClientConnectionMemory(
            ClientContext context,
            ClientConnection connection,
            Channel channel,
            RequestAggregator aggregator,
            PipelinedRequests pipelinedRequests) {
        this.context = context;
        this.connection = connection;
        this.channel = channel;
        this.aggregator = aggregator;
        this.pipelinedRequests = pipelinedRequests;
        this.account = context.memory().open(this);
    }

    void close() {
        account.close();
    }

    /** Reports the memory that the messages hold; to be called after each change of it. */
    void update() {
        ClientExchange exchange = connection.exchange();
        MemoryUse inFlight = exchange != null && exchange.hasBegun() ? exchange.use() : MemoryUse.NONE;
        account.set(sheddable(ShedStage.WAITING_FOR_CLIENT).plus(inFlight));
    }

    @Override
    public MemoryUse sheddable(ShedStage stage) {
        if (stage != ShedStage.WAITING_FOR_CLIENT) {
            return MemoryUse.NONE;
        }
        ClientExchange exchange = connection.exchange();
        MemoryUse incomplete = aggregator.use().plus(new MemoryUse(0, PendingWrites.bytes(channel)));
        MemoryUse undispatched = incomplete.plus(pipelinedRequests.use());
        return exchange == null || exchange.hasBegun() ? undispatched : undispatched.plus(exchange.use());
    }

    /**
     * Rejects the requests that have not been dispatched, or closes the connection if the client does not read its
     * responses.
     */
    @Override
    public void shed(ShedStage stage) {
        if (PendingWrites.exist(channel)) {
            channel.close();
        } else {
            rejectUndispatched(context.overloadRetryAfterUs());
        }
        update();
    }

    private void rejectUndispatched(long retryAfterUs) {
        pipelinedRequests.moveWaitingToOverflow();
        if (!aggregator.isEmpty()) {
            connection.rejectAndClose(PlainTextResponse.rejection(retryAfterUs));
        }
        ClientExchange exchange = connection.exchange();
        if (exchange != null && !exchange.hasBegun()) {
            exchange.sendRejection(retryAfterUs);
        }
    }

    @Override
    public String peer() {
        return "client " + channel.remoteAddress();
    }
}
