package org.lovagerack.submission;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.StringLength;
import org.lovagerack.foundation.data.Bytes;
import org.lovagerack.foundation.error.ErrorKind;
import org.lovagerack.foundation.error.Failure;
import org.lovagerack.foundation.error.LovagerackException;
import org.lovagerack.foundation.error.RunOutcome;

/** Guards against forged identifiers, and texts that are not valid in a URL path or a header. */
final class SubmissionIdCodecTest {

  private static final SubmissionId ID =
      new SubmissionId("tt-south-a", "10.0.0.1:7400", 0x8123456789abcdefL, 42);

  private final SubmissionIdCodec codec = new SubmissionIdCodec(Bytes.ofText("cluster key"));

  @Property(tries = 500, seed = "11")
  void encodedTextIsUrlSafeAndDecodesToTheSameId(
      @ForAll @StringLength(max = 60) String domain,
      @ForAll long incarnation,
      @ForAll long sequence)
      throws LovagerackException {
    String wellFormed = Bytes.ofText(domain).toText();
    SubmissionId id = new SubmissionId(wellFormed, "[::1]:7400", incarnation, sequence);

    String text = codec.encode(id);

    assertThat(text).matches("[A-Za-z0-9_-]+");
    assertThat(codec.decode(text)).isEqualTo(id);
  }

  @Property(tries = 1000, seed = "12")
  void anyOtherCharacterIsRejected(
      @ForAll @IntRange(max = 10_000) int position, @ForAll char replacement) {
    String text = codec.encode(ID);
    int index = position % text.length();
    String changed = text.substring(0, index) + replacement + text.substring(index + 1);

    if (!changed.equals(text)) {
      assertRejected(changed);
    }
  }

  @Property(tries = 1000, seed = "13")
  void arbitraryTextIsRejected(@ForAll String text) {
    assertRejected(text);
  }

  @Example
  void nonCanonicalTextsAndOtherKeysAreRejected() {
    String text = codec.encode(ID);
    assertRejected(text + "=");
    assertRejected(text + "A");
    assertRejected(text.substring(1));
    assertRejected(new SubmissionIdCodec(Bytes.ofText("other key")).encode(ID));
  }

  private void assertRejected(String text) {
    LovagerackException error =
        catchThrowableOfType(LovagerackException.class, () -> codec.decode(text));
    assertThat(error).as(text).isNotNull();
    assertThat(error.failure())
        .extracting(Failure::kind, Failure::outcome)
        .containsExactly(ErrorKind.INVALID_SUBMISSION_ID, RunOutcome.NOT_RUN);
  }
}
