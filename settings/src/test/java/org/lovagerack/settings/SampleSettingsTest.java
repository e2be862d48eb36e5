package org.lovagerack.settings;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.lovagerack.foundation.error.LovagerackException;

/** Guards against a sample settings file that the daemon rejects. */
final class SampleSettingsTest {

  @Test
  void sampleIsValid() throws LovagerackException {
    Settings settings = new SettingsLoader().load(Path.of("../samples/lovagerackd.json"));

    assertThat(settings.failureDomain()).isEqualTo("nordvik-1");
  }
}
