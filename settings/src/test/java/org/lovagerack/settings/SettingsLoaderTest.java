package org.lovagerack.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.lovagerack.foundation.error.LovagerackException;

/** Guards against invalid settings that are accepted and against incomplete error messages. */
final class SettingsLoaderTest {

  private static final String VALID =
      """
      {"region": "nordvik", "failureDomain": "nordvik-1",
       "callers": {"address": "127.0.0.1:8080"},
       "peers": {"address": "127.0.0.1:9080", "known": ["127.0.0.1:9081"]},
       "platform": {"addresses": ["127.0.0.1:7000"], "key": "0123456789abcdef"},
       "keys": {"cluster": "0123456789abcdef", "operator": "fedcba9876543210"}}
      """;

  private final SettingsLoader loader = new SettingsLoader();

  @Test
  void fillsInDefaults() throws LovagerackException {
    Settings settings = loader.parse(VALID);

    assertThat(settings.callers().maxWait()).isEqualTo(Duration.ofSeconds(60));
    assertThat(settings.drain().linger()).isEqualTo(Duration.ofSeconds(5));
    assertThat(settings.peers().known()).containsExactly("127.0.0.1:9081");
  }

  @Test
  void reportsEveryProblemAtOnceWithPathAndValue() {
    String broken =
        VALID
            .replace("\"127.0.0.1:8080\"", "\"localhost:8080\", \"maxBodyBytes\": -5")
            .replace("\"region\": \"nordvik\",", "\"regoin\": 7,")
            .replace("[\"127.0.0.1:7000\"]", "[]");

    assertThatThrownBy(() -> loader.parse(broken))
        .isInstanceOf(LovagerackException.class)
        .hasMessageContaining("regoin")
        .hasMessageContaining("region")
        .hasMessageContaining("/callers/address")
        .hasMessageContaining("localhost:8080")
        .hasMessageContaining("/callers/maxBodyBytes")
        .hasMessageContaining("-5")
        .hasMessageContaining("/platform/addresses");
  }

  @Test
  void rejectsPortOverTheRange() {
    assertThatThrownBy(() -> loader.parse(VALID.replace("9081", "99999")))
        .hasMessageContaining("/peers/known")
        .hasMessageContaining("127.0.0.1:99999");
  }

  @Test
  void reportsPositionOfSyntaxError() {
    assertThatThrownBy(() -> loader.parse("{\"region\": }"))
        .hasMessageContaining("line 1, column 12");
  }

  @Test
  void doesNotPrintKeys() throws LovagerackException {
    assertThat(loader.parse(VALID).keys().toString()).doesNotContain("0123456789abcdef");
    assertThatThrownBy(() -> loader.parse(VALID.replace("fedcba9876543210", "tooshort")))
        .hasMessageContaining("/keys/operator")
        .satisfies(e -> assertThat(e.getMessage()).doesNotContain("tooshort"));
  }
}
