package gaugegw.balancer;

/**
 * Spreads the bits of a hash code, as those of {@link String#hashCode} differ little between similar ids. Every proxy
 * gets the same value for the same input.
 */
final class HashMixer {
    /** 2^32 divided by the golden ratio, the multiplier of Fibonacci hashing. */
    private static final int GOLDEN_MULTIPLIER = 0x9E3779B1;
    /** The first multiplier of the finalizer of MurmurHash3. */
    private static final int MURMUR_MULTIPLIER = 0x85EBCA6B;

    private static final int FIRST_SHIFT = 15;
    private static final int SECOND_SHIFT = 13;

    private HashMixer() {}

    static int mix(int hash) {
        int mixed = hash * GOLDEN_MULTIPLIER;
        mixed = (mixed ^ mixed >>> FIRST_SHIFT) * MURMUR_MULTIPLIER;
        return mixed ^ mixed >>> SECOND_SHIFT;
    }
}
