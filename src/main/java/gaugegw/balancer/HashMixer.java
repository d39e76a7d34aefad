package gaugegw.balancer;

/**
 * Mixes the bits of a hash code, because {@link String#hashCode} yields similar values for similar ids. The result
 * depends on the input alone, so that it is the same at every proxy.
 */
final class HashMixer {
    /** The multiplier of Fibonacci hashing: 2^32 divided by the golden ratio. */
    private static final int GOLDEN_MULTIPLIER = 0x9E3779B1;
    /** The first multiplier in the finalizer of MurmurHash3. */
    private static final int MURMUR_MULTIPLIER = 0x85EBCA6B;

    private static final int FIRST_SHIFT = 15;
    private static final int SECOND_SHIFT = 13;

    private HashMixer() {}

    /** Returns the mixed hash code. */
    static int mix(int hash) {
        int mixed = hash * GOLDEN_MULTIPLIER;
        mixed = (mixed ^ mixed >>> FIRST_SHIFT) * MURMUR_MULTIPLIER;
        return mixed ^ mixed >>> SECOND_SHIFT;
    }
}
