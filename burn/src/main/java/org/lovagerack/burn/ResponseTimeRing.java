package org.lovagerack.burn;

import java.time.Duration;
import java.util.stream.Stream;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.IntCountsHistogram;

/** Ring buffer of response time histograms over {@link ResponseTimes#WINDOW}. */
final class ResponseTimeRing {

  // Few slots, because each is a histogram of about 6 KB; the ring covers 50 to 60 minutes.
  private static final int SLOTS = 6;

  private final IntCountsHistogram[] histograms =
      Stream.generate(
              () -> new IntCountsHistogram(1, ResponseTimes.MAX_MILLIS, ResponseTimes.DIGITS))
          .limit(SLOTS)
          .toArray(IntCountsHistogram[]::new);
  private final RingCursor cursor;

  ResponseTimeRing(long originNanos) {
    this.cursor =
        new RingCursor(
            ResponseTimes.WINDOW.length(), SLOTS, originNanos, slot -> histograms[slot].reset());
  }

  void add(long nowNanos, Duration responseTime) {
    long millis = Math.clamp(responseTime.toMillis(), 0, ResponseTimes.MAX_MILLIS);
    histograms[cursor.position(nowNanos)].recordValue(millis);
  }

  ResponseTimes sum(long nowNanos) {
    cursor.position(nowNanos);
    Histogram sum = ResponseTimes.newHistogram();
    for (IntCountsHistogram histogram : histograms) {
      sum.add(histogram);
    }
    return new ResponseTimes(sum);
  }
}
