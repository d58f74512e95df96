package org.chivecross.cli.entry.http;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.chivecross.model.request.ConnectionFault;
import org.chivecross.model.request.ConnectionKind;
import org.chivecross.model.request.ProbeResult;
import org.chivecross.model.request.ResponseHead;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.http.Protocol;
import org.glassfish.grizzly.memory.Buffers;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/**
 * Probes the health and load of targets on the pooled connections that also carry requests: a
 * connection that has just answered a probe is the best one for the next request. Safe for use by
 * many threads.
 */
public final class TargetProber {

  private static final int OK = 200;

  private final UpstreamClient client;
  private final RequestDialect dialect;
  private final TaskScheduler scheduler;

  TargetProber(UpstreamClient client, RequestDialect dialect, TaskScheduler scheduler) {
    this.client = client;
    this.dialect = dialect;
    this.scheduler = scheduler;
  }

  /** Receives the result of a probe; called once, on any thread. */
  @FunctionalInterface
  public interface ProbeListener {

    /** Handles the result. */
    void ended(ProbeResult result);
  }

  /**
   * Starts a probe.
   *
   * @param host value of the host header
   * @param path path of the health check
   * @param timeoutMillis time within which the answer must arrive, in ms
   */
  public void probe(
      int target, String host, String path, long timeoutMillis, ProbeListener listener) {
    Probe probe = new Probe(target, host, path, listener);
    long now = System.nanoTime();
    scheduler.scheduleAt(now + TimeUnit.MILLISECONDS.toNanos(timeoutMillis), probe::timedOut);
    client.acquire(target, ConnectionKind.ANY, now, probe);
  }

  /** One probe. All state is guarded by this object; the listener is called without it. */
  private final class Probe implements UpstreamUser, UpstreamClient.AcquireHandler {

    private final String host;
    private final String path;
    private final ProbeListener listener;
    private final int target;
    private boolean retried;
    private @Nullable UpstreamConnection connection;
    private boolean over;

    Probe(int target, String host, String path, ProbeListener listener) {
      this.target = target;
      this.host = host;
      this.path = path;
      this.listener = listener;
    }

    @Override
    public void acquired(UpstreamConnection acquired) {
      synchronized (this) {
        if (over) {
          acquired.pool().release(acquired);
          return;
        }
        connection = acquired;
        acquired.setUser(this);
      }
      HttpRequestPacket packet =
          HttpRequestPacket.builder()
              .method("GET")
              .uri(path)
              .protocol(Protocol.HTTP_1_1)
              .header("Host", host)
              .build();
      acquired
          .connection()
          .write(packet.httpContentBuilder().content(Buffers.EMPTY_BUFFER).last(true).build());
    }

    @Override
    public boolean received(HttpContent content) {
      HttpResponsePacket head = (HttpResponsePacket) content.getHttpHeader();
      Optional<String> fault = faultOf(head);
      boolean reusable;
      UpstreamConnection used;
      synchronized (this) {
        if (over) {
          return true;
        }
        if (!content.isLast() && fault.isEmpty()) {
          return true;
        }
        over = true;
        used = connection;
        connection = null;
        reusable =
            fault.isEmpty()
                && dialect.isCopyRecognisable(head)
                && head.getProcessingState().isKeepAlive()
                && !SurplusAwareEncoding.isMarked(head);
      }
      if (used != null && reusable) {
        used.noteKeepAlive(head, System.nanoTime());
        used.setUser(null);
        used.pool().release(used);
      } else if (used != null) {
        used.close();
      }
      if (fault.isPresent()) {
        Logger.info("{} on a probed connection to {}: closed", fault.get(), host);
        listener.ended(new ProbeResult.Failed(false));
      } else {
        ResponseHead answer = dialect.toDecisionHead(head);
        listener.ended(new ProbeResult.Responded(head.getStatus() == OK, answer));
      }
      return true;
    }

    /** Returns why a head is not that of a response to this probe; empty if it is. */
    private Optional<String> faultOf(HttpResponsePacket head) {
      if (!dialect.isResponseToProbe(head)) {
        return Optional.of("late response");
      }
      boolean sound = ResponseHeads.isFramingSound(head, false, dialect.allowsBodyUntilClose());
      return sound ? Optional.empty() : Optional.of("malformed response");
    }

    /**
     * Ends the probe without a response, unless one has arrived that this entry has not read yet: a
     * suspended or slow entry would take its own delay for the target's.
     */
    void timedOut() {
      UpstreamConnection used;
      synchronized (this) {
        used = connection;
      }
      if (used == null) {
        failed(ConnectionFault.SILENT);
      } else {
        client.afterArrived(used, () -> failed(ConnectionFault.SILENT));
      }
    }

    @Override
    public void failed(ConnectionFault fault) {
      UpstreamConnection used;
      boolean retry;
      synchronized (this) {
        if (over) {
          return;
        }
        used = connection;
        connection = null;
        // A target may close an idle connection; that alone does not make it unhealthy.
        retry = fault == ConnectionFault.CLOSED && used != null && !retried;
        retried = true;
        over = !retry;
      }
      if (retry) {
        client.acquire(target, ConnectionKind.FRESH, System.nanoTime(), this);
        return;
      }
      if (used != null) {
        used.close();
      }
      listener.ended(
          isOwn(fault)
              ? new ProbeResult.NotMade()
              : new ProbeResult.Failed(fault == ConnectionFault.REFUSED));
    }

    /** Returns whether a fault is due to this entry and says nothing about the target. */
    private boolean isOwn(ConnectionFault fault) {
      return fault == ConnectionFault.LOCAL
          || fault == ConnectionFault.LIMITED
          || client.isStopped();
    }

    @Override
    public boolean suspendReader(FilterChainContext context) {
      return false;
    }
  }
}
