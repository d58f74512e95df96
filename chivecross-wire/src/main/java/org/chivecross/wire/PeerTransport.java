package org.chivecross.wire;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.timeout.IdleStateHandler;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.chivecross.logic.peer.PeerOutbox;
import org.chivecross.model.failure.Failure;
import org.chivecross.model.failure.Result;
import org.chivecross.model.failure.Step;
import org.chivecross.model.peer.EntryMember;
import org.chivecross.model.peer.PeerMessage;
import org.chivecross.wire.generated.Envelope;
import org.jspecify.annotations.Nullable;

/**
 * TCP transport for messages between entries. Safe for use by many threads.
 *
 * <p>Invariant: a message is sent on the connection on which the latest message of its receiver
 * arrived, or on one opened by this entry. A message that can't be sent at once is dropped and
 * counted, not retried.
 */
public final class PeerTransport implements PeerOutbox, AutoCloseable {

  private static final int LENGTH_FIELD_BYTES = 4;
  private static final int EVENT_LOOP_THREADS = 2;
  private static final int WRITE_BUFFER_LOW_WATER_BYTES = 2 << 20;
  private static final int WRITE_BUFFER_HIGH_WATER_BYTES = 8 << 20;
  private static final long SHUTDOWN_TIMEOUT_MILLIS = 500;

  private final PeerTransportPreferences preferences;
  private final PeerSecurity security;
  private final Supplier<EntryMember> self;
  private final PeerListener listener;
  private final PeerTraffic traffic;
  private final MessageReader reader;
  private final MessageWriter writer;
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(EVENT_LOOP_THREADS, NioIoHandler.newFactory());
  private final Map<String, Channel> lastChannelByPeer = new ConcurrentHashMap<>();
  private final Map<String, ChannelFuture> connectFutures = new ConcurrentHashMap<>();
  private @Nullable Channel server;

  /**
   * Creates a transport that does not listen yet.
   *
   * @param self supplies the current claim of this entry about itself, sent in each hello
   */
  public PeerTransport(
      PeerTransportPreferences preferences,
      PeerSecurity security,
      long incarnation,
      Supplier<EntryMember> self,
      PeerListener listener,
      PeerTraffic traffic) {
    this.preferences = preferences;
    this.security = security;
    this.self = self;
    this.listener = listener;
    this.traffic = traffic;
    reader = new MessageReader(preferences.deployment());
    writer = new MessageWriter(preferences.deployment(), incarnation);
  }

  /** Starts listening and returns the port. */
  public Result<Integer> start() {
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(
                ChannelOption.WRITE_BUFFER_WATER_MARK,
                new WriteBufferWaterMark(
                    WRITE_BUFFER_LOW_WATER_BYTES, WRITE_BUFFER_HIGH_WATER_BYTES))
            .childHandler(initializer(security::server));
    ChannelFuture bound = bootstrap.bind(preferences.listen()).awaitUninterruptibly();
    if (!bound.isSuccess()) {
      return Result.failed(
          Step.SETTINGS,
          Failure.LOCAL,
          "can't listen on " + preferences.listen() + ": " + bound.cause().getMessage());
    }
    server = bound.channel();
    return Result.success(((InetSocketAddress) bound.channel().localAddress()).getPort());
  }

  @Override
  public void send(String peerAddress, PeerMessage message) {
    sendTracked(peerAddress, message, failure -> {});
  }

  /**
   * Sends a message and reports a failure that proves that it was not sent.
   *
   * @param notSent called at most once, if no byte of the message left this process
   */
  public void sendTracked(String peerAddress, PeerMessage message, Consumer<Failure> notSent) {
    Channel channel = lastChannelByPeer.get(peerAddress);
    if (channel != null && channel.isActive()) {
      write(channel, peerAddress, message, notSent);
      return;
    }
    connectionTo(peerAddress)
        .addListener(
            (ChannelFuture connectFuture) -> {
              if (connectFuture.isSuccess()) {
                // The hello is written when the channel becomes active, directly after this event.
                connectFuture
                    .channel()
                    .eventLoop()
                    .execute(() -> write(connectFuture.channel(), peerAddress, message, notSent));
              } else {
                drop(peerAddress, String.valueOf(connectFuture.cause().getMessage()), notSent);
              }
            });
  }

  @Override
  public void reset(String peerAddress) {
    Channel channel = lastChannelByPeer.remove(peerAddress);
    if (channel != null) {
      channel.close();
    }
    ChannelFuture connectFuture = connectFutures.remove(peerAddress);
    if (connectFuture != null) {
      connectFuture.channel().close();
    }
  }

  @Override
  public void close() {
    if (server != null) {
      server.close().awaitUninterruptibly();
    }
    group
        .shutdownGracefully(0, SHUTDOWN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
        .awaitUninterruptibly();
  }

  private void write(
      Channel channel, String peerAddress, PeerMessage message, Consumer<Failure> notSent) {
    if (!channel.isWritable()) {
      drop(peerAddress, "connection takes no more", notSent);
      return;
    }
    traffic.messageSent();
    Envelope envelope = writer.write(message);
    channel.writeAndFlush(envelope);
  }

  private void drop(String peerAddress, String detail, Consumer<Failure> notSent) {
    traffic.messageDropped();
    notSent.accept(new Failure(Step.CONNECT, peerAddress, detail));
  }

  private ChannelFuture connectionTo(String peerAddress) {
    return connectFutures.compute(
        peerAddress,
        (address, existing) -> {
          boolean usable =
              existing != null && (!existing.isDone() || existing.channel().isActive());
          return usable && existing != null ? existing : connect(address);
        });
  }

  private ChannelFuture connect(String peerAddress) {
    int colon = peerAddress.lastIndexOf(':');
    String host = peerAddress.substring(0, colon);
    int port = Integer.parseInt(peerAddress.substring(colon + 1));
    ChannelFuture connectFuture =
        new Bootstrap()
            .group(group)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(
                ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) preferences.connectTimeout().toMillis())
            .option(
                ChannelOption.WRITE_BUFFER_WATER_MARK,
                new WriteBufferWaterMark(
                    WRITE_BUFFER_LOW_WATER_BYTES, WRITE_BUFFER_HIGH_WATER_BYTES))
            .handler(initializer(security::client))
            .connect(host, port);
    connectFuture
        .channel()
        .closeFuture()
        .addListener(closed -> connectFutures.remove(peerAddress, connectFuture));
    return connectFuture;
  }

  private ChannelInitializer<SocketChannel> initializer(Supplier<Optional<SslContext>> contexts) {
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(SocketChannel channel) {
        Optional<SslContext> context = contexts.get();
        ChannelPipeline pipeline = channel.pipeline();
        pipeline.addLast(new TrafficHandler(traffic));
        context.ifPresent(tls -> pipeline.addLast(tls.newHandler(channel.alloc())));
        pipeline.addLast(
            new IdleStateHandler(0, 0, preferences.idleTimeout().toMillis(), TimeUnit.MILLISECONDS),
            new LengthFieldBasedFrameDecoder(
                PeerTransportPreferences.MAX_FRAME_BYTES,
                0,
                LENGTH_FIELD_BYTES,
                0,
                LENGTH_FIELD_BYTES),
            new LengthFieldPrepender(LENGTH_FIELD_BYTES),
            new ProtobufDecoder(Envelope.getDefaultInstance()),
            new ProtobufEncoder(),
            new PeerChannelHandler(
                reader, writer, self, listener, lastChannelByPeer::put, traffic));
        channel
            .closeFuture()
            .addListener(closed -> lastChannelByPeer.values().removeIf(other -> other == channel));
      }
    };
  }
}
