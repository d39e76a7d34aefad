package gaugegw.balancer;

/** Spreads the bits of a hash code. Every proxy gets the same value for the same input. */
final class HashMixer {
    private HashMixer() {}

    static int mix(int hash) {
        int mixed = hash * 0x9E3779B1;
        mixed = (mixed ^ mixed >>> 15) * 0x85EBCA6B;
        return mixed ^ mixed >>> 13;
    }
}
