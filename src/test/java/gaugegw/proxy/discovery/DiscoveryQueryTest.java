package gaugegw.proxy.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

/** What a call sends, and which lists can be applied after it. */
class DiscoveryQueryTest {
    private static final DiscoveryQuery FROM_VERSION_41 = new DiscoveryQuery(OptionalLong.of(41), 1_500, 1_200);
    private static final DiscoveryQuery COMPLETE_LIST = new DiscoveryQuery(OptionalLong.empty(), 0, 1_200);

    private static EndpointList delta(long version) {
        return new EndpointList(version, false, List.of());
    }

    private static EndpointList snapshot(long version) {
        return new EndpointList(version, true, List.of());
    }

    @Test
    void sendsVersionAndHoldOnlyIfThereIsAVersion() {
        assertThat(FROM_VERSION_41.uri()).isEqualTo("/v1/endpoints?from=41&hold_ms=1500");
        assertThat(COMPLETE_LIST.uri()).isEqualTo("/v1/endpoints");
    }

    /**
     * Discovery has restarted, and its versions start again from a low number. A delta with a version below the one
     * sent can't be applied.
     */
    @Test
    void acceptsNoDeltaBelowTheVersionSent() {
        assertThat(FROM_VERSION_41.accepts(delta(41))).isTrue();
        assertThat(FROM_VERSION_41.accepts(delta(43))).isTrue();
        assertThat(FROM_VERSION_41.accepts(delta(7))).isFalse();
        assertThat(COMPLETE_LIST.accepts(delta(7))).isFalse();
    }

    @Test
    void acceptsEverySnapshot() {
        assertThat(FROM_VERSION_41.accepts(snapshot(7))).isTrue();
        assertThat(COMPLETE_LIST.accepts(snapshot(7))).isTrue();
    }
}
