package org.chivecross.wire;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.net.InetSocketAddress;
import java.net.URISyntaxException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.chivecross.model.failure.Result;
import org.chivecross.model.failure.Step;
import org.chivecross.model.peer.EntryFlags;
import org.chivecross.model.peer.EntryMember;
import org.chivecross.model.peer.KeyAnswer;
import org.chivecross.model.peer.KeyCall;
import org.chivecross.model.peer.KeyOperation;
import org.chivecross.model.peer.MemberState;
import org.chivecross.model.peer.PeerMessage;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class PeerTransportTest {

  private static final long WAIT_SECONDS = 10;
  private static final PeerMessage MESSAGE = new PeerMessage.IndirectPing(1, 2);
  private static final KeyCall CALL =
      new KeyCall(KeyOperation.QUERY, "k", "", "", List.of(), new byte[0]);

  private final List<AutoCloseable> opened = new ArrayList<>();
  private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();

  /** A transport with the messages that it received. */
  private final class Node {
    private final BlockingQueue<PeerMessage> received = new ArrayBlockingQueue<>(10);
    private final PeerTraffic traffic = new PeerTraffic();
    private final OwnerCallClient calls;
    private final PeerTransport transport;
    private final long incarnation;
    private String address = "";
    private Optional<String> owner = Optional.empty();

    Node(long incarnation, String deployment, PeerSecurity security) {
      this.incarnation = incarnation;
      transport =
          new PeerTransport(
              PeerTransportPreferences.standard(new InetSocketAddress("127.0.0.1", 0), deployment),
              security,
              incarnation,
              this::self,
              this::receive,
              traffic);
      calls =
          new OwnerCallClient(
              incarnation,
              unused -> owner,
              transport,
              timer,
              (call, remaining, answer) ->
                  answer.accept(new KeyAnswer(200, List.of(), new byte[] {4})));
      Result<Integer> port = transport.start();
      address = "127.0.0.1:" + ((Result.Success<Integer>) port).value();
      opened.add(transport);
    }

    private EntryMember self() {
      return new EntryMember(
          incarnation, address, address, "a", 1, MemberState.ALIVE, EntryFlags.STARTING);
    }

    private void receive(PeerLink link, PeerMessage.Sender sender, PeerMessage message) {
      calls.receive(link, message);
      received.add(message);
    }
  }

  @AfterEach
  void close() throws Exception {
    for (AutoCloseable node : opened) {
      node.close();
    }
    timer.shutdownNow();
  }

  private static PeerSecurity tls(String name, String authority) throws URISyntaxException {
    Result<PeerSecurity> security =
        PeerSecurity.tls(
            new PeerSecurity.TlsFiles(
                file(name + ".pem"), file(name + ".key"), file(authority + ".pem")));
    return ((Result.Success<PeerSecurity>) assertInstanceOf(Result.Success.class, security))
        .value();
  }

  private static Path file(String name) throws URISyntaxException {
    return Path.of(PeerTransportTest.class.getResource("/tls/" + name).toURI());
  }

  private static PeerMessage await(Node node) throws InterruptedException {
    return node.received.poll(WAIT_SECONDS, TimeUnit.SECONDS);
  }

  @Test
  void messageAndReplyArrive() throws Exception {
    Node a = new Node(1, "d", PeerSecurity.plain());
    Node b = new Node(2, "d", PeerSecurity.plain());
    a.transport.send(b.address, MESSAGE);
    assertEquals(MESSAGE, await(b));
    b.transport.send(a.address, MESSAGE);
    assertEquals(MESSAGE, await(a));
    assertEquals(2, a.traffic.messagesSent() + b.traffic.messagesSent());
  }

  @Test
  void messageArrivesOverMutualTls() throws Exception {
    Node a = new Node(1, "d", tls("entry", "ca"));
    Node b = new Node(2, "d", tls("entry", "ca"));
    a.transport.send(b.address, MESSAGE);
    assertEquals(MESSAGE, await(b));
  }

  @Test
  void peersWithForeignCertificateOrWithoutTlsAreRefused() throws Exception {
    Node b = new Node(2, "d", tls("entry", "ca"));
    Node stranger = new Node(1, "d", tls("stranger", "ca"));
    Node plain = new Node(3, "d", PeerSecurity.plain());
    stranger.transport.send(b.address, MESSAGE);
    plain.transport.send(b.address, MESSAGE);
    assertNull(b.received.poll(1, TimeUnit.SECONDS));
    assertEquals(true, b.traffic.messagesRefused() > 0);
  }

  @Test
  void messageOfAnotherDeploymentIsRefused() throws Exception {
    Node a = new Node(1, "other", PeerSecurity.plain());
    Node b = new Node(2, "d", PeerSecurity.plain());
    a.transport.send(b.address, MESSAGE);
    assertNull(b.received.poll(1, TimeUnit.SECONDS));
    assertEquals(true, b.traffic.messagesRefused() > 0);
  }

  @Test
  void ownerAnswersCall() throws Exception {
    Node a = new Node(1, "d", PeerSecurity.plain());
    Node b = new Node(2, "d", PeerSecurity.plain());
    a.owner = Optional.of(b.address);
    BlockingQueue<Result<KeyAnswer>> answers = new ArrayBlockingQueue<>(1);
    a.calls.call(2, CALL, 5_000, answers::add);
    Result<KeyAnswer> answer = answers.poll(WAIT_SECONDS, TimeUnit.SECONDS);
    assertNotNull(answer);
    assertArrayEquals(new byte[] {4}, ((Result.Success<KeyAnswer>) answer).value().body());
  }

  @Test
  void callToClosedPortFailsAsNotSent() throws Exception {
    Node a = new Node(1, "d", PeerSecurity.plain());
    Node b = new Node(2, "d", PeerSecurity.plain());
    b.transport.close();
    a.owner = Optional.of(b.address);
    BlockingQueue<Result<KeyAnswer>> answers = new ArrayBlockingQueue<>(1);
    a.calls.call(2, CALL, 5_000, answers::add);
    Result<KeyAnswer> answer = answers.poll(WAIT_SECONDS, TimeUnit.SECONDS);
    assertEquals(Step.CONNECT, ((Result.Failed<KeyAnswer>) answer).failures().get(0).step());
  }
}
