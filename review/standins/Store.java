import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** The platform's store, as PROTOCOL.md describes it. Safe for use by many threads. */
final class Store implements AutoCloseable {

  private record Item(byte[] value, long rev) {}

  private final HttpServer server;
  private final TreeMap<String, Item> items = new TreeMap<>();
  private long revision = 1;

  Store() throws IOException {
    server = HttpServer.create(new InetSocketAddress(Net.address(200), Net.STORE), 0);
    server.createContext("/", this::handle);
    server.setExecutor(
        Executors.newCachedThreadPool(
            task -> {
              Thread thread = new Thread(task);
              thread.setDaemon(true);
              return thread;
            }));
    server.start();
  }

  static String address() {
    return Net.ip(200) + ":" + Net.STORE;
  }

  /** Writes a value; returning is the acknowledgement. */
  synchronized void put(String key, String value) {
    items.put(key, new Item(value.getBytes(StandardCharsets.UTF_8), ++revision));
    notifyAll();
  }

  synchronized void remove(String key) {
    items.put(key, new Item(null, ++revision));
    notifyAll();
  }

  @Override
  public void close() {
    server.stop(0);
  }

  private void handle(HttpExchange exchange) throws IOException {
    Map<String, String> query = new HashMap<>();
    String raw = exchange.getRequestURI().getRawQuery();
    for (String part : raw == null ? new String[0] : raw.split("&")) {
      int equals = part.indexOf('=');
      query.put(
          part.substring(0, equals),
          URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
    }
    String body =
        switch (exchange.getRequestURI().getPath()) {
          case "/-/kv-key" -> key(query.getOrDefault("key", ""));
          case "/-/kv-range" -> range(query);
          case "/-/kv-watch" -> watch(query);
          default -> "";
        };
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(bytes.length == 0 ? 404 : 200, bytes.length == 0 ? -1 : bytes.length);
    exchange.getResponseBody().write(bytes);
    exchange.close();
  }

  private synchronized String key(String key) {
    Item item = items.get(key);
    return item == null || item.value() == null ? "" : json(key, item);
  }

  private synchronized String range(Map<String, String> query) {
    List<String> found = new ArrayList<>();
    items.forEach(
        (key, item) -> {
          if (key.startsWith(query.getOrDefault("prefix", "")) && item.value() != null) {
            found.add(json(key, item));
          }
        });
    return "{\"items\":["
        + String.join(",", found)
        + "],\"has_more\":false,\"current_rev\":"
        + revision
        + "}";
  }

  private synchronized String watch(Map<String, String> query) {
    long after = Long.parseLong(query.getOrDefault("after", "0"));
    long end = System.nanoTime() + Long.parseLong(query.getOrDefault("wait_ms", "0")) * 1_000_000;
    try {
      while (revision <= after && System.nanoTime() < end) {
        wait(Math.max(1, (end - System.nanoTime()) / 1_000_000));
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    TreeMap<Long, String> events = new TreeMap<>();
    items.forEach(
        (key, item) -> {
          if (item.rev() > after && key.startsWith(query.getOrDefault("prefix", ""))) {
            events.put(item.rev(), json(key, item));
          }
        });
    return "{\"events\":[" + String.join(",", events.values()) + "],\"current_rev\":" + revision + "}";
  }

  private String json(String key, Item item) {
    if (item.value() == null) {
      return "{\"key\":\"" + key + "\",\"rev\":" + item.rev() + ",\"tombstone\":true}";
    }
    return "{\"key\":\""
        + key
        + "\",\"value\":\""
        + Base64.getEncoder().encodeToString(item.value())
        + "\",\"rev\":"
        + item.rev()
        + ",\"create_revision\":"
        + item.rev()
        + ",\"lease\":0,\"current_rev\":"
        + revision
        + "}";
  }
}
