package org.chivecross.cli.standin.platform;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.chivecross.cli.standin.platform.StoredValues.StoredValue;
import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.HttpServer;
import org.glassfish.grizzly.http.server.NetworkListener;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;
import org.tinylog.Logger;

/**
 * HTTP server that stands in for the configuration service and the list of VMs. It implements the
 * part of Consul's key/value and catalogue API that entries use, including blocking queries
 * (watches).
 *
 * <p>Its control endpoint makes it respond 503, serve stale values, respond slowly or leave watches
 * unanswered. Thread-safe.
 */
public final class PlatformStandin implements AutoCloseable {

  private static final String KV_PREFIX = "/v1/kv/";
  private static final String NODES_PATH = "/v1/catalog/nodes";
  private static final String CONTROL_PATH = "/control";
  private static final String INDEX_HEADER = "X-Consul-Index";
  private static final long RELOAD_INTERVAL_MILLIS = 50;
  private static final int UNAVAILABLE = 503;

  /** A pending watch: a request that waits for a revision of the key above {@code index}. */
  private record Watch(String key, long index, Response response) {}

  private final PlatformSettings settings;
  private final StoredValues values;
  private final CallCounts counts = new CallCounts();
  private final List<Watch> watches = new CopyOnWriteArrayList<>();
  private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2);
  private final HttpServer server = new HttpServer();
  private volatile PlatformBehaviour behaviour = PlatformBehaviour.NORMAL;

  /** Creates a stand-in; {@link #start} opens its port. */
  public PlatformStandin(PlatformSettings settings) {
    this.settings = settings;
    values = new StoredValues(settings);
  }

  /**
   * Starts the server and returns its port.
   *
   * @throws IOException if the address can't be bound or the directory can't be read
   */
  public int start() throws IOException {
    values.reload();
    NetworkListener listener =
        new NetworkListener("platform", settings.listen().host(), settings.listen().port());
    server.addListener(listener);
    server.getServerConfiguration().addHttpHandler(new RequestHandler(), "/");
    server.start();
    timer.scheduleWithFixedDelay(
        this::reload, RELOAD_INTERVAL_MILLIS, RELOAD_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    return listener.getPort();
  }

  @Override
  public void close() {
    timer.shutdownNow();
    server.shutdownNow();
  }

  /** Routes requests by path. */
  private final class RequestHandler extends HttpHandler {
    @Override
    public void service(Request request, Response response) throws IOException {
      String path = request.getRequestURI();
      if (path.equals(CONTROL_PATH)) {
        serveControl(request, response);
      } else if (path.startsWith(KV_PREFIX)) {
        serveValue(path.substring(KV_PREFIX.length()), request, response);
      } else if (path.equals(NODES_PATH)) {
        serveValue(StoredValues.VMS_KEY, request, response);
      } else {
        response.sendError(404);
      }
    }
  }

  private void serveControl(Request request, Response response) throws IOException {
    if (request.getMethod().getMethodString().equals("POST")) {
      behaviour = PlatformBehaviour.of(request::getParameter);
      if ("true".equals(request.getParameter("reset"))) {
        counts.reset();
      }
      Logger.info("behaviour changed to {}", behaviour);
    }
    response.setContentType("application/json");
    response.getWriter().write(counts.toJson());
  }

  private void serveValue(String key, Request request, Response response) throws IOException {
    String index = request.getParameter("index");
    counts.count(callKind(key, index), System.currentTimeMillis());
    PlatformBehaviour currentBehaviour = behaviour;
    if (currentBehaviour.down()) {
      response.sendError(UNAVAILABLE);
      return;
    }
    long watchedIndex = index == null ? -1 : Long.parseLong(index);
    long revision = values.get(key).map(StoredValue::revision).orElse(0L);
    response.suspend();
    if (watchedIndex < 0 || revision > watchedIndex && !currentBehaviour.silentWatches()) {
      timer.schedule(
          () -> respond(key, response), currentBehaviour.delayMillis(), TimeUnit.MILLISECONDS);
      return;
    }
    Watch watch = new Watch(key, watchedIndex, response);
    watches.add(watch);
    if (!currentBehaviour.silentWatches()) {
      timer.schedule(
          () -> respondToWatch(watch),
          parseWaitMillis(request.getParameter("wait")),
          TimeUnit.MILLISECONDS);
    }
  }

  private static String callKind(String key, String index) {
    if (key.equals(StoredValues.VMS_KEY)) {
      return "vms";
    }
    String resource = key.endsWith("/manifest") ? "manifest" : "file";
    return index == null ? resource + "Read" : resource + "Watch";
  }

  /** Parses a wait such as {@code 30s} or {@code 500ms}; 5 minutes if there is none. */
  private static long parseWaitMillis(String wait) {
    if (wait == null) {
      return TimeUnit.MINUTES.toMillis(5);
    }
    if (wait.endsWith("ms")) {
      return Long.parseLong(wait.substring(0, wait.length() - 2));
    }
    return TimeUnit.SECONDS.toMillis(Long.parseLong(wait.substring(0, wait.length() - 1)));
  }

  private void reload() {
    try {
      if (!behaviour.stale() && values.reload()) {
        Logger.info("published revision {}", values.revision());
      }
    } catch (IOException e) {
      Logger.warn("values not reloaded: {}", e.toString());
    }
    if (behaviour.silentWatches() || behaviour.down()) {
      return;
    }
    for (Watch watch : watches) {
      long revision = values.get(watch.key()).map(StoredValue::revision).orElse(0L);
      if (revision > watch.index()) {
        respondToWatch(watch);
      }
    }
  }

  private void respondToWatch(Watch watch) {
    if (watches.remove(watch)) {
      respond(watch.key(), watch.response());
    }
  }

  private void respond(String key, Response response) {
    try {
      Optional<StoredValue> value = values.get(key);
      response.setHeader(INDEX_HEADER, Long.toString(value.map(StoredValue::revision).orElse(0L)));
      response.setContentType("application/json");
      if (value.isEmpty()) {
        response.setStatus(404);
      } else {
        byte[] body = PlatformAnswers.body(key, value.get());
        response.setContentLength(body.length);
        response.getOutputStream().write(body);
      }
    } catch (IOException e) {
      Logger.debug("response not written: {}", e.toString());
    }
    response.resume();
  }
}
