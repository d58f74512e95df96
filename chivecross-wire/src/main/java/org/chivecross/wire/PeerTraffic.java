package org.chivecross.wire;

import java.util.concurrent.atomic.LongAdder;

/** Counts what passes between this entry and the others. Safe for use by many threads. */
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

  /** Returns bytes on the wire towards peers, TLS included. */
  public long bytesSent() {
    return bytesSent.sum();
  }

  /** Returns bytes on the wire from peers, TLS included. */
  public long bytesReceived() {
    return bytesReceived.sum();
  }

  /** Returns messages sent. */
  public long messagesSent() {
    return messagesSent.sum();
  }

  /** Returns messages from peers that were bad or of another deployment. */
  public long messagesRefused() {
    return messagesRefused.sum();
  }

  /** Returns own messages that could not be sent. */
  public long messagesDropped() {
    return messagesDropped.sum();
  }
}
