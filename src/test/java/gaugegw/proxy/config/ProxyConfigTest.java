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

/** What a configuration says, and the one line on what is wrong with it. */
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
    void aCachedListThatHasChangedMarksARestart() throws Exception {
        ObjectNode json = ProxyFixture.configTree();
        assertThat(ProxyConfig.parse(json).isFirstStart()).isFalse();
        ((ObjectNode) json.get("known")).put("version", 0);
        assertThat(ProxyConfig.parse(json).isFirstStart()).isTrue();
        json.remove("known");
        assertThat(ProxyConfig.parse(json).isFirstStart()).isTrue();
    }

    /** One field is missing, malformed or out of range. The message names it and says what is wanted there. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "name|''|'name': missing",
                "listen|'8080'|'listen': '8080' is no address and port",
                "discovery|'host:80'|'discovery': 'host:80' is no address and port",
                "seed|'xyz'|'seed': 'xyz' is no hexadecimal number of 64 bits",
                "limits|''|'limits.sockets': a number of at least 128 is wanted",
                "settings|'x'|'settings': an object is wanted"
            })
    void namesTheInvalidField(String field, String value, String message) throws Exception {
        assertThatThrownBy(() -> ProxyConfig.parse(ProxyFixture.configTree().put(field, value)))
                .isInstanceOf(InvalidConfigException.class)
                .hasMessage(message);
    }

    /** A setting is missing, or has a value that is none of those allowed. The message names it by its path. */
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

    /** The error's parts are for code; the message, which tests above fix, is for the operators. */
    @Test
    void givesFieldFoundAndExpectedSeparately() throws Exception {
        assertThatThrownBy(() -> ProxyConfig.parse(ProxyFixture.configTree().put("listen", "8080")))
                .isInstanceOfSatisfying(InvalidConfigException.class, e -> {
                    assertThat(e.field()).isEqualTo("listen");
                    assertThat(e.found()).isEqualTo("8080");
                    assertThat(e.expected()).isEqualTo("address and port");
                });
    }

    /** The file does not exist, then holds half a document. The message tells the two apart. */
    @Test
    void rejectsAFileThatIsNoConfiguration(@TempDir Path folder) throws Exception {
        Path file = folder.resolve("config.json");
        assertThatThrownBy(() -> ProxyConfig.read(file))
                .isInstanceOf(InvalidConfigException.class)
                .hasMessageStartingWith("cannot be read");
        Files.writeString(file, "{");
        assertThatThrownBy(() -> ProxyConfig.read(file))
                .isInstanceOf(InvalidConfigException.class)
                .hasMessageStartingWith("not JSON");
    }
}
