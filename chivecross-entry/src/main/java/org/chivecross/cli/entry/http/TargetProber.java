package org.chivecross.cli.entry.http;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.chivecross.model.request.ConnectionFault;
import org.chivecross.model.request.ConnectionKind;
import org.chivecross.model.request.LoadReport;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.http.Protocol;
import org.glassfish.grizzly.memory.Buffers;
import org.jspecify.annotations.Nullable;

/**
 * Asks targets for their health and load, on the connections that also carry requests: a connection
 * that has just answered is the best one for the request that follows. Safe for use by many
 * threads.
 */
public final class TargetProber {

  private static final int OK = 200;

  private final UpstreamClient client;
  private final RequestDialect dialect;
  private final TaskScheduler timer;

  TargetProber(UpstreamClient client, RequestDialect dialect, TaskScheduler timer) {
    this.client = client;
    this.dialect = dialect;
    this.timer = timer;
  }

  /** Learns how a probe ended; called once, on any thread. */
  @FunctionalInterface
  public interface ProbeListener {

    /**
     * A probe ended.
     *
     * @param healthy whether the target answered that it is well
     * @param report its load, when it told it
     */
    void ended(boolean healthy, Optional<LoadReport> report);
  }

  /**
   * Asks a target.
   *
   * @param host value of the host header
   * @param path path on which targets tell their health
   * @param timeoutMillis time within which the answer must come, in ms
   */
  public void probe(
      int target, String host, String path, long timeoutMillis, ProbeListener listener) {
    Probe probe = new Probe(target, host, path, listener);
    long now = System.nanoTime();
    timer.scheduleAt(
        now + TimeUnit.MILLISECONDS.toNanos(timeoutMillis),
        () -> probe.failed(ConnectionFault.SILENT));
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
    private boolean healthy;
    private Optional<LoadReport> report = Optional.empty();

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
      boolean reusable;
      UpstreamConnection used;
      synchronized (this) {
        if (over) {
          return true;
        }
        healthy = head.getStatus() == OK;
        report = dialect.toDecisionHead(head).load();
        if (!content.isLast()) {
          return true;
        }
        over = true;
        used = connection;
        connection = null;
        reusable = head.getProcessingState().isKeepAlive() && !SurplusAwareEncoding.isMarked(head);
      }
      if (used != null && reusable) {
        used.noteKeepAlive(head, System.nanoTime());
        used.setUser(null);
        used.pool().release(used);
      } else if (used != null) {
        used.close();
      }
      listener.ended(healthy, report);
      return true;
    }

    @Override
    public void failed(ConnectionFault fault) {
      UpstreamConnection used;
      boolean again;
      synchronized (this) {
        if (over) {
          return;
        }
        used = connection;
        connection = null;
        // A kept connection may have been closed by the target; that tells nothing of its health.
        again = fault == ConnectionFault.CLOSED && used != null && !retried;
        retried = true;
        over = !again;
      }
      if (again) {
        client.acquire(target, ConnectionKind.FRESH, System.nanoTime(), this);
        return;
      }
      if (used != null) {
        used.close();
      }
      listener.ended(false, Optional.empty());
    }

    @Override
    public boolean suspendReader(FilterChainContext context) {
      return false;
    }
  }
}
