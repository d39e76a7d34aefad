package beechfall;

/** A request class: an answer within {@code aimUs} earns {@code worth}, a later one that part of it. */
public record RequestClass(
        String name,
        long aimUs,
        long deadlineUs,
        double worth,
        double lateWorth,
        Effect effect,
        Scope scope,
        long windowUs) {
    public RequestClass {
        Settings.require(name != null && !name.isEmpty(), "class name");
        Settings.require(aimUs > 0, "aim of class " + name);
        Settings.require(deadlineUs > 0, "deadline of class " + name);
        Settings.require(worth >= 0 && Double.isFinite(worth), "worth of class " + name);
        Settings.require(lateWorth >= 0 && lateWorth <= 1, "late worth of class " + name);
        Settings.require(effect != null, "effect of class " + name);
        Settings.require(
                effect != Effect.KEYED || (scope != null && windowUs >= 0), "scope and window of class " + name);
    }
}
