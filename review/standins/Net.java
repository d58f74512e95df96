import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;

/** Loopback addresses of one run: 127.A.B.x, where A and B belong to this process. */
final class Net {

  static final int CALLERS = 21_381;
  static final int READY = 21_388;
  static final int DIRECTORY = 21_383;
  static final int PEERS = 21_200;
  static final int METRICS = 21_464;
  static final int TARGETS = 21_500;
  static final int STORE = 21_600;

  private static final String PREFIX = findPrefix();

  private Net() {}

  static String ip(int last) {
    return PREFIX + last;
  }

  static InetAddress address(int last) throws IOException {
    return InetAddress.getByName(ip(last));
  }

  private static String findPrefix() {
    long pid = ProcessHandle.current().pid();
    for (int i = 0; i < 200; i++) {
      String prefix = "127." + (60 + (pid / 200 + i) % 180) + "." + (1 + pid % 200) + ".";
      if (isFree(prefix)) {
        return prefix;
      }
    }
    throw new IllegalStateException("no free loopback addresses");
  }

  private static boolean isFree(String prefix) {
    int[] ports = {CALLERS, READY, DIRECTORY, PEERS, METRICS};
    for (int port : ports) {
      try (ServerSocket socket = new ServerSocket()) {
        socket.bind(new InetSocketAddress(prefix + 1, port));
      } catch (IOException e) {
        return false;
      }
    }
    return true;
  }
}
