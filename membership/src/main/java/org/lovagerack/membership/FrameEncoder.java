package org.lovagerack.membership;

import com.google.protobuf.CodedOutputStream;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufOutputStream;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.MessageToByteEncoder;
import java.io.IOException;
import org.lovagerack.membership.generated.PeerProtocol.Frame;

/** Writes frames, each preceded by its length as a varint. */
final class FrameEncoder extends MessageToByteEncoder<Frame> {

  /** Returns the size of an encoded frame including its length prefix, in bytes. */
  static int encodedSize(Frame frame) {
    int size = frame.getSerializedSize();
    return CodedOutputStream.computeUInt32SizeNoTag(size) + size;
  }

  @Override
  protected void encode(ChannelHandlerContext context, Frame frame, ByteBuf output)
      throws IOException {
    output.ensureWritable(encodedSize(frame));
    try (ByteBufOutputStream stream = new ByteBufOutputStream(output)) {
      frame.writeDelimitedTo(stream);
    }
  }
}
