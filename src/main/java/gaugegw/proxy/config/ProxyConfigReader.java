package gaugegw.proxy.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import gaugegw.balancer.api.BalancerSettings;
import gaugegw.settings.SettingsReader;
import gaugegw.settings.SettingsTree;
import java.net.InetSocketAddress;
import java.util.Optional;

/** Reads a {@link ProxyConfig} from JSON, and maps the field names of the file to those of the code. */
final class ProxyConfigReader {
    /** With fewer file descriptors, too few would be left for connections besides the Java runtime and discovery. */
    private static final int MIN_DESCRIPTORS = 128;

    private static final int SEED_RADIX = 16;
    private static final double BYTES_PER_MB = 1_000_000;

    private final JsonNode json;

    ProxyConfigReader(JsonNode json) {
        this.json = json;
    }

    ProxyConfig read() throws InvalidConfigException {
        SettingsTree settings = settingsTree();
        try {
            return new ProxyConfig(
                    text("name"),
                    address("listen"),
                    address("discovery"),
                    descriptorLimit(),
                    memoryLimitBytes(),
                    cachedEndpoints(),
                    settings(settings),
                    SettingsReader.backendIdleTimeoutUs(settings),
                    SettingsReader.connectTimeoutUs(settings));
        } catch (IllegalArgumentException e) {
            throw InvalidConfigException.settings(e);
        }
    }

    private String text(String field) throws InvalidConfigException {
        String text = json.path(field).asText("");
        if (text.isEmpty()) {
            throw InvalidConfigException.missing(field);
        }
        return text;
    }

    private InetSocketAddress address(String field) throws InvalidConfigException {
        String text = text(field);
        Optional<InetSocketAddress> address = SocketAddresses.parse(text);
        if (address.isEmpty()) {
            throw InvalidConfigException.malformed(field, text, "an IP address and a port");
        }
        return address.get();
    }

    private int descriptorLimit() throws InvalidConfigException {
        JsonNode limit = json.path("limits").path("sockets");
        if (!limit.canConvertToInt() || limit.asInt() < MIN_DESCRIPTORS) {
            throw InvalidConfigException.invalidValue(
                    "limits.sockets", limit.asText(), "a number of at least " + MIN_DESCRIPTORS);
        }
        return limit.asInt();
    }

    /** Returns the memory limit, which the file states in megabytes; without it there is no limit. */
    private long memoryLimitBytes() throws InvalidConfigException {
        JsonNode limit = json.path("limits").path("memory_mb");
        if (limit.isMissingNode()) {
            return Long.MAX_VALUE;
        }
        if (!limit.isNumber() || limit.asDouble() <= 0) {
            throw InvalidConfigException.invalidValue("limits.memory_mb", limit.asText(), "a number above 0");
        }
        return (long) (limit.asDouble() * BYTES_PER_MB);
    }

    private JsonNode cachedEndpoints() {
        JsonNode known = json.path("known");
        return known.isObject() ? known : MissingNode.getInstance();
    }

    private BalancerSettings settings(SettingsTree settings) throws InvalidConfigException {
        return SettingsReader.read(settings, seed());
    }

    private long seed() throws InvalidConfigException {
        String text = text("seed");
        try {
            return Long.parseUnsignedLong(text, SEED_RADIX);
        } catch (NumberFormatException e) {
            throw InvalidConfigException.malformed("seed", text, "a hexadecimal number of at most 64 bits");
        }
    }

    /** Flattens the nested settings to a tree whose keys are paths, such as {@code profiles.0.name}. */
    private SettingsTree settingsTree() throws InvalidConfigException {
        JsonNode settings = json.path("settings");
        if (!settings.isObject()) {
            throw InvalidConfigException.invalidValue("settings", settings.asText(), "an object");
        }
        var values = SettingsTree.builder();
        flatten("", settings, values);
        return values.build();
    }

    private static void flatten(String path, JsonNode node, SettingsTree.Builder values) {
        if (node.isObject()) {
            node.properties().forEach(e -> flatten(child(path, e.getKey()), e.getValue(), values));
        } else if (node.isArray()) {
            values.putCount(path, node.size());
            for (int i = 0; i < node.size(); i++) {
                flatten(child(path, Integer.toString(i)), node.get(i), values);
            }
        } else {
            values.put(path, node.asText());
        }
    }

    private static String child(String path, String name) {
        return path.isEmpty() ? name : path + "." + name;
    }
}
