import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in of the platform's store: kv-key, kv-range and kv-watch. Thread-safe. */
final class Store {

  private static final long HISTORY_MILLIS = 20_000;

  /** A change; a deletion has no value. */
  private record Event(String key, String value, long revision, long createdRevision, long atMillis) {

    String json() {
      String start = "{\"key\":\"" + key + "\",\"rev\":" + revision;
      if (value == null) {
        return start + ",\"tombstone\":true}";
      }
      String encoded =
          Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
      return start
          + ",\"create_revision\":"
          + createdRevision
          + ",\"lease\":0,\"value\":\""
          + encoded
          + "\"}";
    }
  }

  private final ServerSocket server;
  private final TreeMap<String, Event> items = new TreeMap<>();
  private final List<Event> history = new ArrayList<>();
  private long revision = 100;

  Store(String ip) throws IOException {
    server = new ServerSocket();
    server.bind(new InetSocketAddress(InetAddress.getByName(ip), 0), 512);
    Threads.daemon("store", this::accept);
  }

  String address() {
    return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
  }

  /** Writes a value; the return is the acknowledgement. */
  synchronized void put(String key, String value) {
    Event before = items.get(key);
    revision++;
    long created = before == null ? revision : before.createdRevision();
    Event event = new Event(key, value, revision, created, nowMillis());
    items.put(key, event);
    history.add(event);
    notifyAll();
  }

  /** Deletes a key. */
  synchronized void delete(String key) {
    if (items.remove(key) == null) {
      return;
    }
    revision++;
    history.add(new Event(key, null, revision, 0, nowMillis()));
    notifyAll();
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        socket.setTcpNoDelay(true);
        Threads.daemon("store connection", () -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      InputStream in = new BufferedInputStream(socket.getInputStream());
      OutputStream out = socket.getOutputStream();
      while (true) {
        Http.Head head = Http.readHead(in);
        if (head == null) {
          return;
        }
        String[] parts = head.path().split("\\?", 2);
        Map<String, String> query = query(parts.length > 1 ? parts[1] : "");
        String body = answer(parts[0], query);
        int status = body.startsWith("{") ? 200 : Integer.parseInt(body);
        String text = status == 200 ? body : "{}";
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        String answerHead =
            "HTTP/1.1 "
                + status
                + " S\r\nContent-Type: application/json\r\nContent-Length: "
                + bytes.length
                + "\r\n\r\n";
        out.write(answerHead.getBytes(StandardCharsets.UTF_8));
        out.write(bytes);
        out.flush();
      }
    } catch (IOException e) {
      // The entry has closed the connection.
    }
  }

  /** Returns a body, or a status other than 200. */
  private String answer(String path, Map<String, String> query) {
    return switch (path) {
      case "/-/kv-key" -> item(query.getOrDefault("key", ""));
      case "/-/kv-range" -> range(query.getOrDefault("prefix", ""), query.get("after"));
      case "/-/kv-watch" ->
          watch(
              query.getOrDefault("prefix", ""),
              Long.parseLong(query.getOrDefault("after", "0")),
              Long.parseLong(query.getOrDefault("wait_ms", "0")));
      default -> "404";
    };
  }

  private synchronized String item(String key) {
    Event event = items.get(key);
    if (event == null) {
      return "404";
    }
    String json = event.json();
    return json.substring(0, json.length() - 1) + ",\"current_rev\":" + revision + "}";
  }

  private synchronized String range(String prefix, String after) {
    List<String> found = new ArrayList<>();
    for (Event event : items.values()) {
      boolean isNext = after == null || event.key().compareTo(after) > 0;
      if (event.key().startsWith(prefix) && isNext) {
        found.add(event.json());
      }
    }
    return "{\"items\":["
        + String.join(",", found)
        + "],\"has_more\":false,\"current_rev\":"
        + revision
        + "}";
  }

  private synchronized String watch(String prefix, long after, long waitMillis) {
    long endMillis = nowMillis() + waitMillis;
    while (true) {
      history.removeIf(event -> nowMillis() - event.atMillis() > HISTORY_MILLIS);
      long oldest = history.isEmpty() ? revision + 1 : history.get(0).revision();
      if (after + 1 < oldest && after < revision) {
        return "410";
      }
      List<String> found = new ArrayList<>();
      for (Event event : history) {
        if (event.revision() > after && event.key().startsWith(prefix)) {
          found.add(event.json());
        }
      }
      long left = endMillis - nowMillis();
      if (!found.isEmpty() || left <= 0) {
        return "{\"events\":[" + String.join(",", found) + "],\"current_rev\":" + revision + "}";
      }
      try {
        wait(left);
      } catch (InterruptedException e) {
        return "503";
      }
    }
  }

  private static Map<String, String> query(String text) {
    Map<String, String> values = new HashMap<>();
    for (String pair : text.split("&")) {
      String[] parts = pair.split("=", 2);
      if (parts.length == 2) {
        values.put(parts[0], URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
      }
    }
    return values;
  }

  private static long nowMillis() {
    return System.nanoTime() / 1_000_000;
  }
}
