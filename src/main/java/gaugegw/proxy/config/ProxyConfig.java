package gaugegw.proxy.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import gaugegw.balancer.api.BalancerSettings;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * The configuration of a proxy. Immutable; {@code cachedEndpoints} must not be modified.
 *
 * @param name the name of the proxy, which stays the same after a restart
 * @param listenAddress the address on which the proxy accepts clients
 * @param discoveryAddress the address of the discovery service or of the local agent
 * @param descriptorLimit the number of file descriptors that the process may have open
 * @param memoryLimitBytes the memory that the process may use, in bytes; {@code Long.MAX_VALUE} if there is no limit
 * @param cachedEndpoints the endpoint list that this proxy received last, in discovery's format; a {@link MissingNode}
 *     if there is none
 * @param settings the settings of the load balancer
 * @param backendIdleTimeoutUs the time after which a backend closes an idle connection, in microseconds
 * @param connectTimeoutUs the time after which an attempt to connect to a backend has failed, in microseconds
 */
public record ProxyConfig(
        String name,
        InetSocketAddress listenAddress,
        InetSocketAddress discoveryAddress,
        int descriptorLimit,
        long memoryLimitBytes,
        JsonNode cachedEndpoints,
        BalancerSettings settings,
        long backendIdleTimeoutUs,
        long connectTimeoutUs) {

    /**
     * Reads a configuration file.
     *
     * @throws InvalidConfigException if the file can't be read, is not valid JSON, or a proxy can't run with it
     */
    public static ProxyConfig read(Path file) throws InvalidConfigException {
        try (InputStream json = Files.newInputStream(file)) {
            return parse(JsonTrees.read(json));
        } catch (JsonProcessingException e) {
            throw InvalidConfigException.notJson(e.getOriginalMessage());
        } catch (IOException e) {
            throw InvalidConfigException.unreadable(e);
        }
    }

    /**
     * Reads a configuration from JSON.
     *
     * @throws InvalidConfigException if a proxy can't run with it
     */
    public static ProxyConfig parse(JsonNode json) throws InvalidConfigException {
        return new ProxyConfigReader(json).read();
    }

    /**
     * Returns whether this seems to be the first start of the proxy: it has no cached endpoint list, or one of version
     * 0, which discovery has never changed. At a restart clients are already waiting for the proxy, so it skips its
     * warm-up.
     */
    public boolean isFirstStart() {
        return cachedEndpoints.path("version").asLong() == 0;
    }

    /** Returns a copy of this configuration with another address on which to accept clients. */
    public ProxyConfig withListenAddress(InetSocketAddress address) {
        return new ProxyConfig(
                name,
                address,
                discoveryAddress,
                descriptorLimit,
                memoryLimitBytes,
                cachedEndpoints,
                settings,
                backendIdleTimeoutUs,
                connectTimeoutUs);
    }
}
