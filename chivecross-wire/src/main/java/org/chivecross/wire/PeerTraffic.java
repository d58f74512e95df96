package org.chivecross.wire;

import java.util.concurrent.atomic.LongAdder;

/** Counts bytes and messages between this entry and the others. Safe for use by many threads. */
public final class PeerTraffic {

  private final LongAdder bytesSent = new LongAdder();
  private final LongAdder bytesReceived = new LongAdder();
  private final LongAdder messagesSent = new LongAdder();
  private final LongAdder messagesRefused = new LongAdder();
  private final LongAdder messagesDropped = new LongAdder();

  /** Creates counters at zero. */
  public PeerTraffic() {}

  void sent(int bytes) {
    bytesSent.add(bytes);
  }

  void received(int bytes) {
    bytesReceived.add(bytes);
  }

  void messageSent() {
    messagesSent.increment();
  }

  void messageRefused() {
    messagesRefused.increment();
  }

  void messageDropped() {
    messagesDropped.increment();
  }

  /** Returns the bytes sent to peers, including TLS overhead. */
  public long bytesSent() {
    return bytesSent.sum();
  }

  /** Returns the bytes received from peers, including TLS overhead. */
  public long bytesReceived() {
    return bytesReceived.sum();
  }

  /** Returns the number of messages sent. */
  public long messagesSent() {
    return messagesSent.sum();
  }

  /** Returns the number of refused messages: invalid ones and those of another deployment. */
  public long messagesRefused() {
    return messagesRefused.sum();
  }

  /** Returns the number of messages dropped because they could not be sent at once. */
  public long messagesDropped() {
    return messagesDropped.sum();
  }
}
