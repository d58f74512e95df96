import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Random;

/**
 * Clients send a further idempotent request, with a body and {@code Expect: 100-continue}, before
 * the answer to the first one is complete. Ends with 1 if a client gets a success whose body isn't
 * that of the target, as the rule MIXED forbids.
 */
final class Case7 {

  /** Mean size of an answer of the kind {@code download}. */
  private static final int BODY_BYTES = 90_000;

  private static final int FIRST_BYTES = 70_000;
  private static final int WORK_MILLIS = 120;
  private static final int SLOW_FACTOR = 5;
  private static final int DEADLINE_MILLIS = 3_000;
  private static final int ROUNDS = 20;

  private Case7() {}

  public static void main(String[] arguments) throws IOException {
    Cases.run(arguments[0], Case7::run);
  }

  private static int run(Record record, Site site, boolean trouble) throws IOException {
    site.store().put("op/config", Config.reads(DEADLINE_MILLIS));
    int workMillis = trouble ? SLOW_FACTOR * WORK_MILLIS : WORK_MILLIS;
    for (int i = 0; i < 3; i++) {
      site.target("sheets", 6, (target, head, body, out) -> work(target, head, out, workMillis));
    }
    if (!site.startEntries(1)) {
      return 2;
    }
    int whole = 0;
    int mixed = 0;
    for (int i = 0; i < ROUNDS; i++) {
      try (Client client = new Client(site.entry(0))) {
        boolean isWhole = exchange(record, client, "read-" + i, "update-" + i);
        whole += isWhole ? 1 : 0;
        mixed += isWhole ? 0 : 1;
      } catch (IOException e) {
        record.line("client %d: %s", i, e);
      }
    }
    record.line("connections with whole answers: %d; with a success of other bytes: %d", whole, mixed);
    if (whole + mixed == 0) {
      return 2;
    }
    record.line("rule MIXED %s", mixed > 0 ? "broken" : "held");
    return mixed > 0 ? 1 : 0;
  }

  /** Answers a read in two parts, of which the second needs most of the work. */
  private static void work(Target target, Http.Head head, OutputStream out, int workMillis)
      throws IOException {
    byte[] body = bodyOf(head.field("request-id"));
    Threads.sleep(workMillis / 4);
    out.write(target.responseHead(head, 200, "Content-Length: " + body.length + "\r\n"));
    out.write(body, 0, FIRST_BYTES);
    out.flush();
    Threads.sleep(workMillis - workMillis / 4);
    out.write(body, FIRST_BYTES, body.length - FIRST_BYTES);
    out.flush();
  }

  private static byte[] bodyOf(String id) {
    byte[] body = new byte[BODY_BYTES];
    new Random(id.hashCode()).nextBytes(body);
    return body;
  }

  /** Sends a read and, before its answer is complete, an update; returns whether both are whole. */
  private static boolean exchange(Record record, Client client, String read, String update)
      throws IOException {
    client.send(Client.request("GET", "/read/" + read, read, DEADLINE_MILLIS, -1));
    record.line("sent %s", read);
    Threads.sleep(250);
    byte[] content = "new measurements".getBytes(StandardCharsets.US_ASCII);
    String head =
        new String(
            Client.request("PUT", "/read/" + update, update, DEADLINE_MILLIS, content.length),
            StandardCharsets.US_ASCII);
    String withExpectation = head.substring(0, head.length() - 2) + "Expect: 100-continue\r\n\r\n";
    client.send(withExpectation.getBytes(StandardCharsets.US_ASCII));
    record.line("sent the head of %s", update);
    Threads.daemon(
        "body of " + update,
        () -> {
          // A client doesn't wait for the interim response for an indefinite time.
          Threads.sleep(1_000);
          try {
            client.send(content);
            record.line("sent the body of %s", update);
          } catch (IOException e) {
            record.line("body of %s: %s", update, e);
          }
        });
    return isWhole(record, client, read) && isWhole(record, client, update);
  }

  private static boolean isWhole(Record record, Client client, String id) throws IOException {
    Http.Response response = client.receive(5_000);
    while (response != null && response.status() == 100) {
      record.line("%s: interim response 100", id);
      response = client.receive(5_000);
    }
    if (response == null) {
      throw new IOException(id + ": closed without an answer");
    }
    byte[] expected = bodyOf(id);
    boolean isSame = Arrays.equals(expected, response.body());
    record.line(
        "%s: %s, request id %s, signature %s, %d bytes, body is that of the target: %s",
        id,
        response.head().line(),
        response.head().field("request-id"),
        response.head().field("response-signature"),
        response.body().length,
        isSame);
    if (!isSame) {
      int at = Arrays.mismatch(expected, response.body());
      int to = Math.min(response.body().length, at + 25);
      String found = new String(response.body(), at, to - at, StandardCharsets.ISO_8859_1);
      record.line("%s: other bytes from offset %d: %s", id, at, found.strip());
    }
    return response.status() != 200 || isSame;
  }
}
