package gaugegw.proxy.client;

/**
 * The place of a connection among those that wait to be read; see {@link DecodeWorkLimiter}.
 *
 * @param expectedParts the number of parts that its request is expected to have in the end
 * @param sequence the number of turns that were added before; different for each
 * @param reader reads the connection
 */
record DecodeTurn(long expectedParts, long sequence, Runnable reader) {}
