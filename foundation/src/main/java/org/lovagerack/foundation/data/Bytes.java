package org.lovagerack.foundation.data;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** An immutable sequence of bytes. */
public final class Bytes {

  private static final Bytes EMPTY = new Bytes(new byte[0]);

  private final byte[] contents;

  private Bytes(byte[] contents) {
    this.contents = contents;
  }

  /** Returns the empty sequence. */
  public static Bytes empty() {
    return EMPTY;
  }

  /** Returns a copy of an array. */
  public static Bytes copyOf(byte[] contents) {
    return new Bytes(contents.clone());
  }

  /** Returns the UTF-8 encoding of a text. */
  public static Bytes ofText(String text) {
    return new Bytes(text.getBytes(StandardCharsets.UTF_8));
  }

  /** Returns the number of bytes. */
  public int length() {
    return contents.length;
  }

  /** Returns a new array with the bytes. */
  public byte[] toByteArray() {
    return contents.clone();
  }

  /** Decodes the bytes as UTF-8; malformed input is replaced by U+FFFD. */
  public String toText() {
    return new String(contents, StandardCharsets.UTF_8);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof Bytes bytes && Arrays.equals(contents, bytes.contents);
  }

  @Override
  public int hashCode() {
    return Arrays.hashCode(contents);
  }

  @Override
  public String toString() {
    return "Bytes[" + contents.length + "]";
  }
}
