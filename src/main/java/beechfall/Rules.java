package beechfall;

/**
 * The figures of the rules: a backend starts at {@code coldFrom} of its capacity, is warm after {@code coldUs},
 * and falls over when all proxies send more than {@code fallMultiple} of its capacity for {@code fallUs}.
 * Where {@code fullUnproven}, a backend may answer {@link Outcome#FULL} for work that it had begun.
 */
public record Rules(
        double coldFrom, long coldUs, double fallMultiple, long fallUs, long askWithinUs, boolean fullUnproven) {
    public Rules {
        Settings.require(coldFrom > 0 && coldFrom <= 1, "cold from");
        Settings.require(coldUs >= 0, "cold time");
        Settings.require(fallMultiple > 0, "fall multiple");
        Settings.require(fallUs > 0, "fall time");
        Settings.require(askWithinUs > 0, "ask within");
    }
}
