package org.lovagerack.membership;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.zip.Deflater;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.Inflater;
import java.util.zip.InflaterInputStream;
import org.lovagerack.foundation.error.LovagerackException;
import org.lovagerack.membership.generated.PeerProtocol.Heartbeat;
import org.lovagerack.membership.generated.PeerProtocol.LoadUpdate;

/** A load update in plain and in compressed form, of which the smaller one is sent. */
record CompressedLoads(LoadUpdate plain, ByteString deflated) {

  static CompressedLoads of(LoadUpdate update) {
    Deflater deflater = new Deflater(Deflater.BEST_COMPRESSION, true);
    if (update.getNewNamesCount() == 0) {
      // Sequences of small counts rarely repeat, and Huffman coding alone is 20 % smaller.
      deflater.setStrategy(Deflater.HUFFMAN_ONLY);
    }
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (DeflaterOutputStream output = new DeflaterOutputStream(bytes, deflater)) {
      update.writeTo(output);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } finally {
      deflater.end();
    }
    return new CompressedLoads(update, ByteString.copyFrom(bytes.toByteArray()));
  }

  int size() {
    return Math.min(plain.getSerializedSize(), deflated.size());
  }

  CompressedLoads orSmaller(CompressedLoads other) {
    return other.size() < size() ? other : this;
  }

  void addTo(Heartbeat.Builder heartbeat) {
    if (deflated.size() < plain.getSerializedSize()) {
      heartbeat.setDeflatedLoads(deflated);
    } else {
      heartbeat.setPlainLoads(plain);
    }
  }

  /**
   * Reads the update of a heartbeat.
   *
   * @param limitBytes maximum size of the update after decompression, in bytes
   */
  static LoadUpdate read(Heartbeat heartbeat, int limitBytes) throws LovagerackException {
    if (!heartbeat.hasDeflatedLoads()) {
      return heartbeat.getPlainLoads();
    }
    Inflater inflater = new Inflater(true);
    try (InflaterInputStream input =
        new InflaterInputStream(
            new ByteArrayInputStream(heartbeat.getDeflatedLoads().toByteArray()), inflater)) {
      byte[] bytes = input.readNBytes(limitBytes + 1);
      if (bytes.length > limitBytes) {
        throw InvalidFrame.because("a load update is over the limit of " + limitBytes);
      }
      return LoadUpdate.parseFrom(bytes);
    } catch (InvalidProtocolBufferException e) {
      throw InvalidFrame.because("a load update cannot be parsed: " + e.getMessage());
    } catch (IOException e) {
      throw InvalidFrame.because("a load update cannot be decompressed: " + e.getMessage());
    } finally {
      inflater.end();
    }
  }
}
