package org.chivecross.wire;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.IdleStateEvent;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.chivecross.model.failure.Failure;
import org.chivecross.model.failure.Result;
import org.chivecross.model.failure.Step;
import org.chivecross.model.peer.EntryMember;
import org.chivecross.model.peer.PeerMessage;
import org.chivecross.model.peer.PeerMessage.Sender;
import org.chivecross.wire.generated.Envelope;
import org.jspecify.annotations.Nullable;

/**
 * Last Netty handler of one connection to another entry: exchanges hellos, decodes messages and
 * passes them to the listener. Used by one event loop.
 *
 * <p>Invariant: the first envelope in each direction is a hello, and the listener receives messages
 * only after it. An invalid message closes the connection, because the bytes after it can't be
 * trusted.
 */
final class PeerChannelHandler extends SimpleChannelInboundHandler<Envelope> {

  private final MessageReader reader;
  private final MessageWriter writer;
  private final Supplier<EntryMember> self;
  private final PeerListener listener;
  private final BiConsumer<String, Channel> channelRecorder;
  private final PeerTraffic traffic;
  private @Nullable Sender sender;

  PeerChannelHandler(
      MessageReader reader,
      MessageWriter writer,
      Supplier<EntryMember> self,
      PeerListener listener,
      BiConsumer<String, Channel> channelRecorder,
      PeerTraffic traffic) {
    this.reader = reader;
    this.writer = writer;
    this.self = self;
    this.listener = listener;
    this.channelRecorder = channelRecorder;
    this.traffic = traffic;
  }

  @Override
  public void channelActive(ChannelHandlerContext context) throws Exception {
    // With TLS, the SSL handler holds the hello back until the handshake is complete.
    context.writeAndFlush(writer.writeHello(self.get()));
    super.channelActive(context);
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
    if (event instanceof IdleStateEvent) {
      context.close();
    }
    super.userEventTriggered(context, event);
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, Envelope envelope) {
    String peer = peer(context);
    Result<Envelope> checked = reader.checkEnvelope(envelope, peer);
    if (checked instanceof Result.Failed<Envelope> failed) {
      refuse(context, failed.failures().get(0));
      return;
    }
    if (sender == null) {
      readHello(context, envelope, peer);
      return;
    }
    Result<Optional<PeerMessage>> read = reader.read(envelope, peer);
    if (read instanceof Result.Failed<Optional<PeerMessage>> failed) {
      refuse(context, failed.failures().get(0));
      return;
    }
    Sender from = sender;
    channelRecorder.accept(from.peerAddress(), context.channel());
    ((Result.Success<Optional<PeerMessage>>) read)
        .value()
        .ifPresent(message -> listener.received(m -> send(context, m), from, message));
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    refuse(
        context, new Failure(Step.PEER_MESSAGE, peer(context), String.valueOf(cause.getMessage())));
  }

  private void readHello(ChannelHandlerContext context, Envelope envelope, String peer) {
    Result<EntryMember> hello = reader.readHello(envelope, peer);
    if (hello instanceof Result.Failed<EntryMember> failed) {
      refuse(context, failed.failures().get(0));
      return;
    }
    EntryMember member = ((Result.Success<EntryMember>) hello).value();
    sender = new Sender(member.incarnation(), member.peerAddress());
    channelRecorder.accept(member.peerAddress(), context.channel());
  }

  private void refuse(ChannelHandlerContext context, Failure failure) {
    traffic.messageRefused();
    PeerLog.warn(failure);
    context.close();
  }

  private void send(ChannelHandlerContext context, PeerMessage message) {
    traffic.messageSent();
    context.channel().writeAndFlush(writer.write(message));
  }

  private String peer(ChannelHandlerContext context) {
    Sender known = sender;
    return known == null ? String.valueOf(context.channel().remoteAddress()) : known.peerAddress();
  }
}
