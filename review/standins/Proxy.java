import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Relays connections to an address. While it is cut it relays nothing: what arrives is lost, and
 * connections that were open then stay silent. Safe for use by many threads.
 */
final class Proxy implements AutoCloseable {

  private final ServerSocket server;
  private final InetSocketAddress to;
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();
  private volatile long cuts;
  private volatile boolean cut;

  Proxy(InetSocketAddress listen, InetSocketAddress to) throws IOException {
    this.to = to;
    server = new ServerSocket();
    server.bind(listen);
    Target.start(this::accept);
  }

  void cut() {
    cuts++;
    cut = true;
  }

  void heal() {
    cut = false;
  }

  @Override
  public void close() throws IOException {
    server.close();
    for (Socket socket : open) {
      socket.close();
    }
  }

  private void accept() {
    while (true) {
      try {
        Socket in = server.accept();
        open.add(in);
        if (cut) {
          continue;
        }
        Socket out = new Socket();
        out.connect(to);
        open.add(out);
        long opened = cuts;
        Target.start(() -> relay(in, out, opened));
        Target.start(() -> relay(out, in, opened));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void relay(Socket from, Socket into, long opened) {
    byte[] bytes = new byte[16 * 1024];
    try {
      InputStream in = from.getInputStream();
      OutputStream out = into.getOutputStream();
      while (true) {
        int count = in.read(bytes);
        boolean lost = cuts != opened;
        if (count < 0) {
          if (!lost) {
            into.close();
          }
          return;
        }
        if (!lost) {
          out.write(bytes, 0, count);
        }
      }
    } catch (IOException e) {
      // One of the two sides has closed its connection.
    }
  }
}
