package org.chivecross.wire;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;

/** Counts the bytes of one connection, below TLS. Used by one event loop. */
final class TrafficHandler extends ChannelDuplexHandler {

  private final PeerTraffic traffic;

  TrafficHandler(PeerTraffic traffic) {
    this.traffic = traffic;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
    if (message instanceof ByteBuf bytes) {
      traffic.received(bytes.readableBytes());
    }
    super.channelRead(context, message);
  }

  @Override
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise)
      throws Exception {
    if (message instanceof ByteBuf bytes) {
      traffic.sent(bytes.readableBytes());
    }
    super.write(context, message, promise);
  }
}
