package gaugegw.proxy.upstream;

import gaugegw.balancer.api.AttemptOutcome;
import gaugegw.proxy.http.ProtocolHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;

/** Determines the outcome of an attempt from the status line and headers of the response. Stateless. */
final class ResponseClassifier {
    private static final String NOT_PROCESSED = "1";

    private ResponseClassifier() {}

    /**
     * Returns whether a response is final. An interim response (1xx except 101 Switching Protocols) is followed by
     * another response to the same request.
     */
    static boolean isFinal(HttpResponse response) {
        return response.status().codeClass() != HttpStatusClass.INFORMATIONAL
                || response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS);
    }

    /**
     * Returns whether a response was decoded without an error and can be the response to the request, which it cannot
     * be if it was received before the last byte of the request had been written.
     */
    static boolean isValid(HttpResponse response, boolean requestWritten) {
        return response.decoderResult().isSuccess() && requestWritten;
    }

    /**
     * Returns the outcome of the attempt that received a response. {@link AttemptOutcome#REJECTED} proves that the
     * backend did not execute the request, so it is returned only if the backend says so.
     *
     * @param valid the result of {@link #isValid}
     */
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
