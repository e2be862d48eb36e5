package org.lovagerack.submission;

import java.util.HashMap;
import java.util.Map;

/**
 * Two bits for each sequence number, used and accepted. The bits are stored in pages, which are
 * dropped in ascending order.
 */
final class IdentifierBitmap {

  private static final int PAGE_SIZE = 4096;

  private final Map<Long, Page> pages = new HashMap<>();
  private long firstPage;

  boolean isUsed(long sequence) {
    Page page = pages.get(sequence / PAGE_SIZE);
    return page != null && isSet(page.used, sequence);
  }

  boolean isAccepted(long sequence) {
    Page page = pages.get(sequence / PAGE_SIZE);
    return page != null && isSet(page.accepted, sequence);
  }

  void markUsed(long sequence, boolean accepted) {
    Page page = pages.computeIfAbsent(sequence / PAGE_SIZE, number -> new Page());
    set(page.used, sequence);
    if (accepted) {
      set(page.accepted, sequence);
    }
  }

  /** Drops the pages whose sequence numbers are all below the given one. */
  void dropBelow(long sequence) {
    while ((firstPage + 1) * PAGE_SIZE <= sequence) {
      pages.remove(firstPage++);
    }
  }

  private static boolean isSet(long[] bits, long sequence) {
    int index = (int) (sequence % PAGE_SIZE);
    return (bits[index / Long.SIZE] & 1L << index) != 0;
  }

  private static void set(long[] bits, long sequence) {
    int index = (int) (sequence % PAGE_SIZE);
    bits[index / Long.SIZE] |= 1L << index;
  }

  private static final class Page {
    private final long[] used = new long[PAGE_SIZE / Long.SIZE];
    private final long[] accepted = new long[PAGE_SIZE / Long.SIZE];
  }
}
