package org.lovagerack.burn;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Arrays;
import java.util.Base64;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;
import org.HdrHistogram.Histogram;

/** An immutable histogram of response times in milliseconds. */
public final class ResponseTimes {

  /** The window that the histogram covers. */
  public static final BurnWindow WINDOW = BurnWindow.ONE_HOUR;

  // Two digits and a range of 65 s yield 1,280 buckets, which keeps the snapshot of 180 services
  // below 1 MB even if every bucket has a count of three bytes.
  static final int DIGITS = 2;
  static final long MAX_MILLIS = 65_535;

  // Layout of HdrHistogram's V2 encoding: cookie and length, then the compressed part, which starts
  // with cookie, payload length, normalizing offset, digits, lowest and highest value.
  private static final int ENVELOPE_BYTES = 8;
  private static final int HEADER_BYTES = 40;
  private static final int DIGITS_OFFSET = 12;
  private static final int LOWEST_OFFSET = 16;
  private static final int HIGHEST_OFFSET = 24;

  private final Histogram histogram;

  /** Takes ownership of the histogram; the caller must not change it afterwards. */
  ResponseTimes(Histogram histogram) {
    this.histogram = histogram;
  }

  static ResponseTimes none() {
    return new ResponseTimes(newHistogram());
  }

  static Histogram newHistogram() {
    return new Histogram(1, MAX_MILLIS, DIGITS);
  }

  /** Returns the number of response times. */
  public long count() {
    return histogram.getTotalCount();
  }

  /**
   * Returns a quantile, within 1 % and at most 65.5 s; zero if there are no response times.
   *
   * @param share fraction of the response times that are not longer, 0 to 1
   */
  public Duration quantile(double share) {
    return Duration.ofMillis(histogram.getValueAtPercentile(share * 100));
  }

  ResponseTimes plus(ResponseTimes other) {
    Histogram sum = histogram.copy();
    sum.add(other.histogram);
    return new ResponseTimes(sum);
  }

  String encode() {
    ByteBuffer buffer = ByteBuffer.allocate(histogram.getNeededByteBufferCapacity());
    int length = histogram.encodeIntoCompressedByteBuffer(buffer, Deflater.DEFAULT_COMPRESSION);
    return Base64.getEncoder().encodeToString(Arrays.copyOf(buffer.array(), length));
  }

  /**
   * Decodes the output of {@link #encode}.
   *
   * @throws IllegalArgumentException if it is malformed or has another resolution or range
   */
  static ResponseTimes decode(String encoded) {
    byte[] bytes = Base64.getDecoder().decode(encoded);
    try {
      checkHeader(bytes);
      Histogram decoded = Histogram.decodeFromCompressedByteBuffer(ByteBuffer.wrap(bytes), 0);
      if (decoded.getTotalCount() < 0 || decoded.getTotalCount() > BurnSnapshot.MAX_COUNT) {
        throw new IllegalArgumentException(
            "invalid number of response times: " + decoded.getTotalCount());
      }
      return new ResponseTimes(decoded);
    } catch (DataFormatException
        | IndexOutOfBoundsException
        | java.nio.BufferUnderflowException e) {
      throw new IllegalArgumentException("malformed histogram: " + e.getMessage(), e);
    }
  }

  /**
   * Checks resolution and range before the library allocates an array of that size, because the
   * header of a corrupt histogram could request gigabytes.
   */
  private static void checkHeader(byte[] bytes) throws DataFormatException {
    ByteBuffer header = ByteBuffer.allocate(HEADER_BYTES);
    Inflater inflater = new Inflater();
    try {
      inflater.setInput(bytes, ENVELOPE_BYTES, bytes.length - ENVELOPE_BYTES);
      if (inflater.inflate(header.array()) < HEADER_BYTES) {
        throw new IllegalArgumentException("histogram is truncated");
      }
    } finally {
      inflater.end();
    }
    int digits = header.getInt(DIGITS_OFFSET);
    long lowest = header.getLong(LOWEST_OFFSET);
    long highest = header.getLong(HIGHEST_OFFSET);
    if (digits != DIGITS || lowest != 1 || highest != MAX_MILLIS) {
      throw new IllegalArgumentException(
          "histogram has %d digits from %d to %d".formatted(digits, lowest, highest));
    }
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof ResponseTimes times && histogram.equals(times.histogram);
  }

  @Override
  public int hashCode() {
    return histogram.hashCode();
  }

  @Override
  public String toString() {
    return count() + " response times, p50 " + quantile(0.5) + ", p99 " + quantile(0.99);
  }
}
