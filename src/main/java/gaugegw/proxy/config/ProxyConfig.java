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
 * What a proxy is configured with at its start. Immutable; {@code cachedEndpoints} is not to be modified.
 *
 * @param name the proxy's name, the same after a restart
 * @param listenAddress the address to accept clients at
 * @param discoveryAddress the address of discovery
 * @param descriptorLimit the number of file descriptors that the process may hold
 * @param cachedEndpoints the endpoint list that this proxy last received, in discovery's form; a {@link MissingNode} where
 *     there is none
 * @param settings what the load balancer is to keep to
 * @param backendIdleTimeoutUs a backend closes a connection that has been idle for this time, in microseconds
 * @param connectTimeoutUs time after which a connect to a backend has failed, in microseconds
 */
public record ProxyConfig(
        String name,
        InetSocketAddress listenAddress,
        InetSocketAddress discoveryAddress,
        int descriptorLimit,
        JsonNode cachedEndpoints,
        BalancerSettings settings,
        long backendIdleTimeoutUs,
        long connectTimeoutUs) {

    /**
     * Reads a configuration file.
     *
     * @throws InvalidConfigException if it can't be read, is no JSON, or no proxy can run with it
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
     * Reads a configuration.
     *
     * @throws InvalidConfigException if no proxy can run with it
     */
    public static ProxyConfig parse(JsonNode json) throws InvalidConfigException {
        return new ProxyConfigReader(json).read();
    }

    /**
     * Returns whether this is the proxy's first start, as far as can be known: it has no cached endpoint list, or one of
     * version 0, which discovery has never changed. A restarted proxy already has clients that wait for it, so that it skips optional steps of its start.
     */
    public boolean isFirstStart() {
        return cachedEndpoints.path("version").asLong() == 0;
    }

    /** Returns the same configuration with another address to accept clients at. */
    public ProxyConfig withListenAddress(InetSocketAddress address) {
        return new ProxyConfig(
                name,
                address,
                discoveryAddress,
                descriptorLimit,
                cachedEndpoints,
                settings,
                backendIdleTimeoutUs,
                connectTimeoutUs);
    }
}
