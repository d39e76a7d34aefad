package gaugegw.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import java.util.Map;
import org.assertj.core.api.ThrowableAssert.ThrowingCallable;
import org.junit.jupiter.api.Test;

/** The typed getters, and what an exception says about the setting that caused it. */
class SettingsTreeTest {
    private final SettingsTree settings = SettingsTree.builder()
            .put("limit", "4.0")
            .put("factor", "0.5")
            .put("flag", "1")
            .put("mode", "fast")
            .put("empty", "")
            .putCount("items", 2)
            .put("items.0.name", "first")
            .put("items.1.name", "second")
            .put("items.1.size", "many")
            .build();

    @Test
    void readsValuesByTheirTypes() {
        assertThat(settings.longValue("limit")).isEqualTo(4);
        assertThat(settings.doubleValue("factor")).isEqualTo(0.5);
        assertThat(settings.booleanValue("flag")).isTrue();
        assertThat(settings.text("mode")).isEqualTo("fast");
        assertThat(settings.<Integer>oneOf("mode", Map.of("fast", 1, "slow", 2)))
                .isEqualTo(1);
    }

    @Test
    void readsTheItemsOfAListInOrder() {
        assertThat(settings.items("items", item -> item.text("name"))).containsExactly("first", "second");
        assertThat(settings.itemsIfPresent("absent", item -> item.text("name"))).isEmpty();
    }

    @Test
    void replacesOnlyAMissingSettingByADefault() {
        assertThat(settings.booleanValueOr("absent", true)).isTrue();
        assertThat(settings.booleanValueOr("flag", false)).isTrue();
        assertInvalid(() -> settings.booleanValueOr("mode", true), "mode", "fast");
    }

    /** A setting that is present but empty is of no use, and is reported as missing. */
    @Test
    void reportsAnEmptySettingAsMissing() {
        var error = catchThrowableOfType(InvalidSettingException.class, () -> settings.longValue("empty"));
        assertThat(error).hasMessage("missing setting 'empty'");
        assertThat(error.value()).isEmpty();
        assertThat(error.expected()).isEqualTo("a whole number");
    }

    @Test
    void errorsNameThePathTheValueAndWhatIsExpected() {
        assertThat(assertInvalid(() -> settings.longValue("factor"), "factor", "0.5"))
                .isEqualTo("a whole number");
        assertThat(assertInvalid(() -> settings.doubleValue("mode"), "mode", "fast"))
                .isEqualTo("a number");
        assertThat(assertInvalid(() -> settings.oneOf("mode", Map.of("slow", 2, "idle", 3)), "mode", "fast"))
                .isEqualTo("one of [idle, slow]");
    }

    /**
     * An item reads its settings by paths relative to it. An error must name the full path, which the operators wrote.
     */
    @Test
    void errorsInAListNameTheWholePath() {
        assertInvalid(
                () -> settings.items("items", item -> item.has("size") ? item.longValue("size") : 0),
                "items.1.size",
                "many");
    }

    /** Asserts that a read fails for this path and value, and returns the description of what is allowed. */
    private static String assertInvalid(ThrowingCallable read, String path, String value) {
        var error = catchThrowableOfType(InvalidSettingException.class, read);
        assertThat(error.path()).isEqualTo(path);
        assertThat(error.value()).contains(value);
        assertThat(error).hasMessageContaining("'" + value + "' in setting '" + path + "'");
        return error.expected();
    }
}
