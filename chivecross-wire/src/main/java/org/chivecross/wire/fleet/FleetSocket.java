package org.chivecross.wire.fleet;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.BiConsumer;
import org.chivecross.model.failure.Failure;
import org.chivecross.model.failure.Result;
import org.chivecross.model.failure.Step;
import org.chivecross.model.fleet.FleetMessage;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/**
 * UDP socket for gossip messages between entries. Thread-safe.
 *
 * <p>Invariant: sending never blocks; a message that is too large, or that is sent while the socket
 * is closed, is dropped and counted.
 */
public final class FleetSocket implements AutoCloseable {

  /** Largest payload of a datagram over IPv4. */
  private static final int MAX_BYTES = 65_507;

  /** One in this many dropped datagrams is logged, so that a stray sender can't flood the log. */
  private static final long DROPPED_PER_LOG_LINE = 1_000;

  private static final long CLOSE_MILLIS = 200;

  private static final int POOL_PAGE_BYTES = 8 * 1024;

  /**
   * Pages of a chunk of the pool, as a power of two; a chunk holds two of the largest datagrams.
   */
  private static final int POOL_CHUNK_ORDER = 4;

  private final InetSocketAddress listen;
  private final BiConsumer<String, FleetMessage> receiver;
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final LongAdder sent = new LongAdder();
  private final LongAdder received = new LongAdder();
  private final LongAdder dropped = new LongAdder();
  private volatile @Nullable Channel channel;

  /**
   * Creates a socket that is not open yet.
   *
   * @param listen address of this entry; all entries use the same port
   * @param receiver receives the sender's IP address and the message, on the socket's thread
   */
  public FleetSocket(InetSocketAddress listen, BiConsumer<String, FleetMessage> receiver) {
    this.listen = listen;
    this.receiver = receiver;
  }

  /** Opens the socket and returns its port. */
  public Result<Integer> start() {
    ChannelFuture bound =
        new Bootstrap()
            .group(group)
            .channel(NioDatagramChannel.class)
            .option(ChannelOption.ALLOCATOR, receiveBuffers())
            .option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(MAX_BYTES))
            .handler(new Receiver())
            .bind(listen)
            .awaitUninterruptibly();
    if (!bound.isSuccess()) {
      return Result.failed(
          Step.SETTINGS,
          Failure.LOCAL,
          "cannot open UDP port for gossip on " + listen + ": " + bound.cause().getMessage());
    }
    channel = bound.channel();
    return Result.success(((InetSocketAddress) bound.channel().localAddress()).getPort());
  }

  /** Sends a message to the entries on some VMs; it is encoded once. */
  public void send(Collection<String> ips, FleetMessage message) {
    if (ips.isEmpty()) {
      return;
    }
    Channel open = channel;
    byte[] bytes = FleetCodec.encode(message);
    if (open == null || bytes.length > MAX_BYTES) {
      dropped.add(ips.size());
      return;
    }
    sent.add(ips.size());
    for (String ip : ips) {
      InetSocketAddress to = new InetSocketAddress(ip, listen.getPort());
      open.write(new DatagramPacket(Unpooled.wrappedBuffer(bytes), to));
    }
    open.flush();
  }

  /**
   * Returns an allocator that reuses one buffer for received datagrams; a new one for each would
   * cost more than decoding the message.
   */
  private static ByteBufAllocator receiveBuffers() {
    return new PooledByteBufAllocator(false, 1, 0, POOL_PAGE_BYTES, POOL_CHUNK_ORDER, 0, 0, false);
  }

  /** Returns the number of messages sent. */
  public long sentCount() {
    return sent.sum();
  }

  /** Returns the number of messages received. */
  public long receivedCount() {
    return received.sum();
  }

  /** Returns the number of dropped messages, outgoing and incoming. */
  public long droppedCount() {
    return dropped.sum();
  }

  @Override
  public void close() {
    group.shutdownGracefully(0, CLOSE_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Decodes datagrams and drops malformed ones. */
  private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {

    @Override
    protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
      String ip = packet.sender().getAddress().getHostAddress();
      Result<FleetMessage> message = FleetCodec.decode(ByteBufUtil.getBytes(packet.content()), ip);
      if (message instanceof Result.Success<FleetMessage> success) {
        received.increment();
        receiver.accept(ip, success.value());
        return;
      }
      dropped.increment();
      if (dropped.sum() % DROPPED_PER_LOG_LINE == 1) {
        Failure failure = ((Result.Failed<FleetMessage>) message).failures().get(0);
        Logger.warn(
            "malformed datagram dropped: {} ({} messages dropped so far)", failure, dropped.sum());
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      Logger.warn("receiving or sending a datagram failed: {}", cause.toString());
    }
  }
}
