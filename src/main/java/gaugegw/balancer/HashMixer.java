package gaugegw.balancer;

/**
 * Spreads the bits of a hash code. Every proxy computes the same value for the same input, so that proxies agree on an
 * order, or on an endpoint, without exchanging messages.
 */
final class HashMixer {
    private static final int FIRST_MULTIPLIER = 0x9E3779B1;
    private static final int SECOND_MULTIPLIER = 0x85EBCA6B;
    private static final int FIRST_SHIFT = 15;
    private static final int SECOND_SHIFT = 13;

    private HashMixer() {}

    /** Returns a hash that differs in about half of its bits where the input differs in one. */
    static int mix(int hash) {
        int mixed = hash * FIRST_MULTIPLIER;
        mixed = (mixed ^ mixed >>> FIRST_SHIFT) * SECOND_MULTIPLIER;
        return mixed ^ mixed >>> SECOND_SHIFT;
    }
}
