package org.chivecross.cli.simulation;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BiPredicate;
import java.util.random.RandomGenerator;
import org.chivecross.model.peer.PeerMessage;
import org.chivecross.model.peer.PeerMessage.Sender;

/**
 * Simulated network that delivers messages between entries with delay, loss and partitions. Not
 * thread-safe.
 *
 * <p>Invariant: a message is delivered to the process that listens at the address at the time of
 * arrival, or dropped if none does.
 */
public final class FakeNetwork {

  /** Receives the messages sent to one address. */
  @FunctionalInterface
  public interface Receiver {
    /** Handles a message that arrived. */
    void receive(Sender sender, PeerMessage message);
  }

  private static final long BASE_DELAY_NANOS = TimeUnit.MICROSECONDS.toNanos(500);
  private static final long MAX_JITTER_NANOS = TimeUnit.MILLISECONDS.toNanos(4);

  private final VirtualTime time;
  private final RandomGenerator random;
  private final Map<String, Receiver> receivers = new HashMap<>();
  private final Map<String, Long> bytesSent = new HashMap<>();
  private BiPredicate<String, String> partition = (from, to) -> false;
  private double lossFraction;

  /** Creates a network without loss or partitions. */
  public FakeNetwork(VirtualTime time, RandomGenerator random) {
    this.time = time;
    this.random = random;
  }

  /** Registers the receiver of an address in place of an earlier one. */
  public void listen(String address, Receiver receiver) {
    receivers.put(address, receiver);
  }

  /** Removes the receiver of an address. */
  public void close(String address) {
    receivers.remove(address);
  }

  /** Sets for which senders and receivers messages are dropped. */
  public void partition(BiPredicate<String, String> newPartition) {
    partition = newPartition;
  }

  /** Sets the fraction of messages that are lost at random. */
  public void setLossFraction(double fraction) {
    lossFraction = fraction;
  }

  /** Returns the bytes that an address has sent so far. */
  public long bytesSent(String address) {
    return bytesSent.getOrDefault(address, 0L);
  }

  /** Sends a message, unless a partition or random loss drops it. */
  public void send(Sender sender, String to, PeerMessage message) {
    bytesSent.merge(sender.peerAddress(), (long) MessageSizes.bytes(message), Long::sum);
    if (partition.test(sender.peerAddress(), to) || random.nextDouble() < lossFraction) {
      return;
    }
    long delay = BASE_DELAY_NANOS + random.nextLong(MAX_JITTER_NANOS);
    time.after(delay, () -> deliver(sender, to, message));
  }

  private void deliver(Sender sender, String to, PeerMessage message) {
    Receiver receiver = receivers.get(to);
    if (receiver != null) {
      receiver.receive(sender, message);
    }
  }
}
