package org.lovagerack.membership;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufInputStream;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.CorruptedFrameException;
import java.io.IOException;
import java.util.List;
import org.lovagerack.membership.generated.PeerProtocol.Frame;

/**
 * Splits the byte stream into frames. The size limit is checked before a frame is buffered. It is
 * small until the peer is authenticated, to bound the memory that an unknown client can use.
 */
final class FrameDecoder extends ByteToMessageDecoder {

  /** Maximum frame size before the handshake is finished; a challenge has about 120 bytes. */
  static final int UNAUTHENTICATED_LIMIT_BYTES = 1024;

  private static final int MAX_LENGTH_BYTES = 5;
  private static final int INCOMPLETE = -1;

  private int limitBytes = UNAUTHENTICATED_LIMIT_BYTES;

  void setLimit(int bytes) {
    limitBytes = bytes;
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf input, List<Object> output)
      throws InvalidProtocolBufferException {
    input.markReaderIndex();
    int length = readLength(input);
    if (length == INCOMPLETE || input.readableBytes() < length) {
      input.resetReaderIndex();
      return;
    }
    output.add(parse(input.readSlice(length)));
  }

  @Override
  protected void decodeLast(ChannelHandlerContext context, ByteBuf input, List<Object> output)
      throws Exception {
    decode(context, input, output);
    if (output.isEmpty() && input.isReadable()) {
      int remaining = input.readableBytes();
      input.skipBytes(remaining);
      // An exception thrown here would reach the next handler only after the connection is closed.
      context.fireExceptionCaught(
          new CorruptedFrameException(
              "the connection ended after " + remaining + " bytes of a frame"));
    }
  }

  private int readLength(ByteBuf input) {
    long length = 0;
    for (int position = 0; position < MAX_LENGTH_BYTES; position++) {
      if (!input.isReadable()) {
        return INCOMPLETE;
      }
      byte next = input.readByte();
      length |= (long) (next & 0x7f) << (7 * position);
      if (length > limitBytes) {
        throw new CorruptedFrameException(
            "a frame of at least " + length + " bytes is over the limit of " + limitBytes);
      }
      if (next >= 0) {
        return (int) length;
      }
    }
    throw new CorruptedFrameException("the length of a frame has more than 5 bytes");
  }

  private static Frame parse(ByteBuf contents) throws InvalidProtocolBufferException {
    try (ByteBufInputStream stream = new ByteBufInputStream(contents)) {
      Frame frame = Frame.parseFrom(stream);
      if (frame.getMessageCase() == Frame.MessageCase.MESSAGE_NOT_SET) {
        throw new CorruptedFrameException("a frame carries no known message");
      }
      return frame;
    } catch (InvalidProtocolBufferException e) {
      throw e;
    } catch (IOException e) {
      throw new InvalidProtocolBufferException(e);
    }
  }
}
