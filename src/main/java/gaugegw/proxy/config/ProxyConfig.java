package gaugegw.proxy.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import gaugegw.balancer.api.BalancerSettings;
import gaugegw.settings.SettingsReader;
import gaugegw.settings.SettingsTree;
import io.netty.util.NetUtil;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * What a proxy is told at its start.
 *
 * @param cachedEndpoints the backends as this proxy last had them, in discovery's form; null where there are none
 * @param connIdleUs a backend closes a connection that has stood idle for so long
 */
public record ProxyConfig(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        int sockets,
        JsonNode cachedEndpoints,
        BalancerSettings settings,
        long connIdleUs,
        long connectTimeoutUs) {

    /** A configuration that no proxy can run with; the message is for the operators and names the field. */
    public static final class InvalidConfigException extends Exception {
        private static final long serialVersionUID = 1L;

        public InvalidConfigException(String message) {
            super(message);
        }
    }

    /**
     * Returns whether this proxy is new, as far as can be known: it has no list that discovery has ever changed. One
     * that comes back is missed meanwhile, and has no time for anything that can be left out.
     */
    public boolean isFirstStart() {
        return cachedEndpoints == null || cachedEndpoints.path("version").asLong() == 0;
    }

    public ProxyConfig listeningAt(InetSocketAddress address) {
        return new ProxyConfig(
                name, address, discovery, sockets, cachedEndpoints, settings, connIdleUs, connectTimeoutUs);
    }

    public static ProxyConfig read(Path file) throws InvalidConfigException {
        try (InputStream json = Files.newInputStream(file)) {
            return parse(JsonTrees.read(json));
        } catch (JsonProcessingException e) {
            throw new InvalidConfigException("not JSON: " + e.getOriginalMessage());
        } catch (IOException e) {
            throw new InvalidConfigException("cannot be read: " + e);
        }
    }

    public static ProxyConfig parse(JsonNode json) throws InvalidConfigException {
        JsonNode settings = json.path("settings");
        if (!settings.isObject()) {
            throw new InvalidConfigException("'settings': an object is wanted");
        }
        var builder = SettingsTree.builder();
        flatten("", settings, builder);
        SettingsTree tree = builder.build();
        try {
            return new ProxyConfig(
                    text(json, "name"),
                    address(json, "listen"),
                    address(json, "discovery"),
                    sockets(json),
                    json.path("known").isObject() ? json.path("known") : null,
                    SettingsReader.read(tree, seed(json)),
                    SettingsReader.connectionIdleTimeoutUs(tree),
                    SettingsReader.connectTimeoutUs(tree));
        } catch (IllegalArgumentException e) {
            throw new InvalidConfigException("'settings': " + e.getMessage());
        }
    }

    /** Spells nested JSON out as paths, as the simulator's wire has them. */
    private static void flatten(String path, JsonNode node, SettingsTree.Builder values) {
        if (node.isObject()) {
            node.properties()
                    .forEach(e -> flatten(path.isEmpty() ? e.getKey() : path + "." + e.getKey(), e.getValue(), values));
        } else if (node.isArray()) {
            values.putCount(path, node.size());
            for (int i = 0; i < node.size(); i++) {
                flatten(path + "." + i, node.get(i), values);
            }
        } else {
            values.put(path, node.asText());
        }
    }

    private static String text(JsonNode json, String field) throws InvalidConfigException {
        String text = json.path(field).asText("");
        if (text.isEmpty()) {
            throw new InvalidConfigException("'" + field + "': missing");
        }
        return text;
    }

    private static InetSocketAddress address(JsonNode json, String field) throws InvalidConfigException {
        String text = text(json, field);
        InetSocketAddress address = address(text);
        if (address == null) {
            throw new InvalidConfigException("'" + field + "': '" + text + "' is no address and port");
        }
        return address;
    }

    private static long seed(JsonNode json) throws InvalidConfigException {
        String text = text(json, "seed");
        try {
            return Long.parseUnsignedLong(text, 16);
        } catch (NumberFormatException e) {
            throw new InvalidConfigException("'seed': '" + text + "' is no hexadecimal number of 64 bits");
        }
    }

    private static int sockets(JsonNode json) throws InvalidConfigException {
        JsonNode limit = json.path("limits").path("sockets");
        if (!limit.canConvertToInt() || limit.asInt() < 128) {
            throw new InvalidConfigException("'limits.sockets': a number of at least 128 is wanted");
        }
        return limit.asInt();
    }

    /** Reads a numeric address and a port, or returns null: there is no DNS, and none is to be waited for. */
    public static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        byte[] host = colon < 0 ? null : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
        if (host == null) {
            return null;
        }
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            return port < 0 || port > 65_535 ? null : new InetSocketAddress(InetAddress.getByAddress(host), port);
        } catch (NumberFormatException | UnknownHostException e) {
            return null;
        }
    }
}
