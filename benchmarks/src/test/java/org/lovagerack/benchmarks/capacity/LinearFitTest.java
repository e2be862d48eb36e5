package org.lovagerack.benchmarks.capacity;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.lovagerack.benchmarks.capacity.LinearFit.Point;

/** Tests the fit on which all slopes in {@code docs/CAPACITY.md} are based. */
final class LinearFitTest {

  /** Compares slope, intercept and standard error with the textbook formulas. */
  @Test
  void fitsSlopeInterceptAndStandardError() {
    LinearFit fit =
        LinearFit.of(List.of(new Point(1, 1), new Point(2, 3), new Point(3, 2), new Point(4, 4)));

    assertThat(fit.slope()).isCloseTo(0.8, within(1e-12));
    assertThat(fit.intercept()).isCloseTo(0.5, within(1e-12));
    assertThat(fit.slopeError()).isCloseTo(Math.sqrt(0.18), within(1e-12));
  }

  /** Two points do not determine a standard error, which must not be reported as 0. */
  @Test
  void standardErrorOfTwoPointsIsNaN() {
    assertThat(LinearFit.of(List.of(new Point(0, 1), new Point(2, 5))).slopeError()).isNaN();
  }

  /** Guards against a slope of NaN in the printed table. */
  @Test
  void pointsWithOneXAreRejected() {
    assertThatThrownBy(() -> LinearFit.of(List.of(new Point(1, 1), new Point(1, 2))))
        .isInstanceOf(IllegalArgumentException.class);
  }
}
