package gaugegw.proxy.upstream;

import gaugegw.balancer.api.AttemptOutcome;
import gaugegw.proxy.http.ProtocolHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;

/** Says what a response means for its attempt, from its head alone. Stateless. */
final class ResponseClassifier {
    private static final String NOT_PROCESSED = "1";

    private ResponseClassifier() {}

    /**
     * Returns whether a response is final; an interim one (1xx, but for a switch of protocols) is followed by another.
     */
    static boolean isFinal(HttpResponse response) {
        return response.status().codeClass() != HttpStatusClass.INFORMATIONAL
                || response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS);
    }

    /**
     * Returns whether a response can be read completely and answers the request: one that was begun before the last
     * byte of the request was written does not.
     */
    static boolean isValid(HttpResponse response, boolean requestWritten) {
        return response.decoderResult().isSuccess() && requestWritten;
    }

    /** Returns the outcome of the attempt that a response ends; a rejection proves that nothing was executed. */
    static AttemptOutcome classify(HttpResponse response, boolean valid) {
        if (!valid) {
            return AttemptOutcome.ERROR;
        }
        if (response.status().code() == HttpResponseStatus.OK.code()) {
            return AttemptOutcome.SUCCESS;
        }
        return isRejection(response) ? AttemptOutcome.REJECTED : AttemptOutcome.ERROR;
    }

    private static boolean isRejection(HttpResponse response) {
        int status = response.status().code();
        return (status == HttpResponseStatus.SERVICE_UNAVAILABLE.code()
                        || status == HttpResponseStatus.GATEWAY_TIMEOUT.code())
                && NOT_PROCESSED.equals(response.headers().get(ProtocolHeaders.NOT_PROCESSED));
    }
}
