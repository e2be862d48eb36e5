package org.lovagerack.burn;

import java.time.Duration;
import java.util.stream.Stream;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.IntCountsHistogram;

/** Response times over {@link ResponseTimes#WINDOW}. */
final class ResponseTimeRing {

  // Each slot is a histogram of about 6 KB, so there are few: the ring covers 50 to 60 minutes.
  private static final int SLOTS = 6;

  private final IntCountsHistogram[] histograms =
      Stream.generate(
              () -> new IntCountsHistogram(1, ResponseTimes.LARGEST_MILLIS, ResponseTimes.DIGITS))
          .limit(SLOTS)
          .toArray(IntCountsHistogram[]::new);
  private final SlotClock clock;

  ResponseTimeRing(long originNanos) {
    this.clock =
        new SlotClock(
            ResponseTimes.WINDOW.length(), SLOTS, originNanos, slot -> histograms[slot].reset());
  }

  void add(long nowNanos, Duration responseTime) {
    long millis = Math.clamp(responseTime.toMillis(), 0, ResponseTimes.LARGEST_MILLIS);
    histograms[clock.position(nowNanos)].recordValue(millis);
  }

  ResponseTimes sum(long nowNanos) {
    clock.position(nowNanos);
    Histogram sum = ResponseTimes.newHistogram();
    for (IntCountsHistogram histogram : histograms) {
      sum.add(histogram);
    }
    return new ResponseTimes(sum);
  }
}
