package gaugegw.proxy.config;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.node.ObjectNode;
import gaugegw.balancer.api.Idempotency;
import gaugegw.balancer.api.RequestClass;
import gaugegw.balancer.api.Tenant;
import gaugegw.proxy.testing.ProxyFixture;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The contents of a configuration, and the one-line message about what is wrong with it. */
class ProxyConfigTest {
    @Test
    void readsTheSettings() throws Exception {
        ProxyConfig config = ProxyConfig.parse(ProxyFixture.configTree());
        assertThat(config.settings().seed()).isEqualTo(0x92094eb940cf389aL);
        assertThat(config.settings().limits().endpointUpdatesOnRequest()).isTrue();
        assertThat(config.settings().requestClasses())
                .extracting(RequestClass::idempotency)
                .containsExactly(Idempotency.IDEMPOTENT, Idempotency.IDEMPOTENT_WITH_KEY, Idempotency.NOT_IDEMPOTENT);
        assertThat(config.settings().tenants()).containsExactly(new Tenant("acme", 100));
        assertThat(config.backendIdleTimeoutUs()).isEqualTo(15_000_000);
        assertThat(config.cachedEndpoints().path("version").asLong()).isEqualTo(41);
    }

    @Test
    void isFirstStartOnlyIfTheCachedListHasNeverChanged() throws Exception {
        ObjectNode json = ProxyFixture.configTree();
        assertThat(ProxyConfig.parse(json).isFirstStart()).isFalse();
        ((ObjectNode) json.get("known")).put("version", 0);
        assertThat(ProxyConfig.parse(json).isFirstStart()).isTrue();
        json.remove("known");
        assertThat(ProxyConfig.parse(json).isFirstStart()).isTrue();
    }

    /** One field is missing, malformed or out of range. The message names it and says what is expected there. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "name|''|'name': missing or empty",
                "listen|'8080'|'listen': expected an IP address and a port, found '8080'",
                "discovery|'host:80'|'discovery': expected an IP address and a port, found 'host:80'",
                "seed|'xyz'|'seed': expected a hexadecimal number of at most 64 bits, found 'xyz'",
                "limits|''|'limits.sockets': expected a number of at least 128",
                "settings|'x'|'settings': expected an object"
            })
    void namesTheInvalidField(String field, String value, String message) throws Exception {
        assertThatThrownBy(() -> ProxyConfig.parse(ProxyFixture.configTree().put(field, value)))
                .isInstanceOf(InvalidConfigException.class)
                .hasMessage(message);
    }

    /** A setting is missing or has an unknown value. The message names it by its path. */
    @Test
    void namesTheInvalidSetting() throws Exception {
        ObjectNode withoutSetting = ProxyFixture.configTree();
        ((ObjectNode) withoutSetting.path("settings").path("bounds")).remove("conn_idle_us");
        assertThatThrownBy(() -> ProxyConfig.parse(withoutSetting))
                .hasMessage("'settings': missing setting 'bounds.conn_idle_us'");
        ObjectNode withUnknownValue = ProxyFixture.configTree();
        ((ObjectNode) withUnknownValue.path("settings").path("profiles").get(1)).put("effect", "sometimes");
        assertThatThrownBy(() -> ProxyConfig.parse(withUnknownValue))
                .hasMessage("'settings': unknown value 'sometimes' in setting 'profiles.1.effect'");
    }

    /** Code can read the parts of the error separately; the message, which the tests above check, is for operators. */
    @Test
    void returnsFieldFoundAndExpectedSeparately() throws Exception {
        assertThatThrownBy(() -> ProxyConfig.parse(ProxyFixture.configTree().put("listen", "8080")))
                .isInstanceOfSatisfying(InvalidConfigException.class, e -> {
                    assertThat(e.field()).isEqualTo("listen");
                    assertThat(e.found()).isEqualTo("8080");
                    assertThat(e.expected()).isEqualTo("an IP address and a port");
                });
    }

    /** The file does not exist, then contains half a document. The two messages differ. */
    @Test
    void distinguishesAnUnreadableFileFromInvalidJson(@TempDir Path folder) throws Exception {
        Path file = folder.resolve("config.json");
        assertThatThrownBy(() -> ProxyConfig.read(file))
                .isInstanceOf(InvalidConfigException.class)
                .hasMessageStartingWith("the file cannot be read");
        Files.writeString(file, "{");
        assertThatThrownBy(() -> ProxyConfig.read(file))
                .isInstanceOf(InvalidConfigException.class)
                .hasMessageStartingWith("the file is not valid JSON");
    }
}
