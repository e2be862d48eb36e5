package org.lovagerack.benchmarks.capacity;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.lovagerack.benchmarks.capacity.LinearFit.Point;

/** Guards against wrong slopes and errors, from which every number in CAPACITY.md follows. */
final class LinearFitTest {

  /** Guards against a slope, intercept or standard error that differs from the textbook formula. */
  @Test
  void fitsALineWithTheStandardErrorOfItsSlope() {
    LinearFit fit =
        LinearFit.of(List.of(new Point(1, 1), new Point(2, 3), new Point(3, 2), new Point(4, 4)));

    assertThat(fit.slope()).isCloseTo(0.8, within(1e-12));
    assertThat(fit.intercept()).isCloseTo(0.5, within(1e-12));
    assertThat(fit.slopeError()).isCloseTo(Math.sqrt(0.18), within(1e-12));
  }

  /** Guards against an error of 0 where two points leave none to be estimated. */
  @Test
  void twoPointsHaveNoError() {
    assertThat(LinearFit.of(List.of(new Point(0, 1), new Point(2, 5))).slopeError()).isNaN();
  }

  /** Guards against a slope of NaN that would pass unnoticed into the table. */
  @Test
  void pointsOfOneSizeAreRejected() {
    assertThatThrownBy(() -> LinearFit.of(List.of(new Point(1, 1), new Point(1, 2))))
        .isInstanceOf(IllegalArgumentException.class);
  }
}
