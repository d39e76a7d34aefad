package beechfall;

/** One line of the server list. {@code startedAtUs} is 0 for long ago; {@code weight} only compares backends. */
public record Backend(String id, State state, String kind, String zone, int cell, long startedAtUs, double weight) {
    public Backend {
        Settings.require(id != null && !id.isEmpty(), "backend id");
        Settings.require(state != null, "state of backend " + id);
    }
}
