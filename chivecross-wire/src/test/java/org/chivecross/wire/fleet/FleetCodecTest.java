package org.chivecross.wire.fleet;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import org.chivecross.model.failure.Result;
import org.chivecross.model.fileset.RequestClass;
import org.chivecross.model.fleet.FleetMember;
import org.chivecross.model.fleet.FleetMessage;
import org.chivecross.model.fleet.RemovedTarget;
import org.chivecross.model.fleet.ServiceLoad;
import org.chivecross.model.fleet.StoreVersion;
import org.chivecross.model.fleet.SuspectRequest;
import org.chivecross.model.fleet.TargetEvidence;
import org.chivecross.model.fleet.TargetIncarnation;
import org.chivecross.model.fleet.TargetLimit;
import org.chivecross.model.fleet.TargetWarmUp;
import org.chivecross.model.fleet.ViewUpdate;
import org.chivecross.model.registry.RegisteredTarget;
import org.chivecross.model.registry.TargetAddress;
import org.chivecross.model.ruleset.CallerLimits;
import org.chivecross.model.ruleset.RouteRule;
import org.chivecross.model.ruleset.RuleSet;
import org.chivecross.model.ruleset.ServiceRule;
import org.chivecross.model.ruleset.WeightedService;
import org.junit.jupiter.api.Test;

class FleetCodecTest {

  private static final int MAX_DATAGRAM_BYTES = 65_507;

  private static RuleSet rules(int routes) {
    List<RouteRule> all = new ArrayList<>();
    for (int i = 0; i < routes; i++) {
      all.add(
          new RouteRule(
              "route-" + i,
              "host" + i % 7 + ".example",
              "/prefix" + i * 7919 + "/",
              List.of(new WeightedService("s1", 90), new WeightedService("s2", 10)),
              RequestClass.values()[i % 3],
              1_200 + i,
              400,
              2,
              i % 4));
    }
    return new RuleSet(
        12,
        all,
        List.of(new ServiceRule("s1", "/health", 300)),
        new CallerLimits(16_384, 1L << 30, 3_000, 15_000));
  }

  private static FleetMessage message(int routes) {
    RegisteredTarget target =
        new RegisteredTarget(
            "i-1", 1790000000123L, "s1", TargetAddress.of("10.0.0.1:80"), "a", 4, true, 1_500, 4);
    ViewUpdate update =
        new ViewUpdate(
            new StoreVersion(3, 530),
            42,
            0x1234567890L,
            12,
            false,
            List.of(target),
            List.of("i-2"),
            Optional.of(rules(routes)),
            Optional.of(Set.of("c", "d")));
    return new FleetMessage(
        -7,
        "a",
        true,
        true,
        false,
        true,
        11,
        23,
        List.of(
            new FleetMember(
                "10.0.0.9", 99, "b", false, true, 250, 17, true, List.of(new ServiceLoad(7, 0.5)))),
        Optional.of(update),
        new TargetEvidence(
            List.of(new TargetIncarnation("i-3", 1790000000456L)),
            List.of(new RemovedTarget(new TargetIncarnation("i-4", 5), 2)),
            List.of(
                new TargetLimit(new TargetIncarnation("i-5", 6), OptionalDouble.of(2.2), 40),
                new TargetLimit(new TargetIncarnation("i-6", 7), OptionalDouble.of(0), 0),
                new TargetLimit(new TargetIncarnation("i-7", 8), OptionalDouble.empty(), 9)),
            List.of(
                new SuspectRequest(
                    -5, List.of(new TargetIncarnation("i-8", 9)), 77, OptionalLong.empty()),
                new SuspectRequest(6, List.of(), 5, OptionalLong.of(0))),
            List.of(new TargetWarmUp(new TargetIncarnation("i-9", 10), 2_500))),
        true,
        List.of(new ServiceLoad(-3, 1.25)));
  }

  @Test
  void decodedMessageEqualsTheEncodedOne() {
    FleetMessage message = message(5);
    Result<FleetMessage> decoded = FleetCodec.decode(FleetCodec.encode(message), "peer");
    assertEquals(new Result.Success<>(message), decoded);
  }

  private static FleetMessage stateMessage(boolean isSenderIsolated, boolean isMemberIsolated) {
    return new FleetMessage(
        -7,
        "a",
        true,
        isSenderIsolated,
        false,
        true,
        11,
        23,
        List.of(new FleetMember("10.0.0.9", 99, "b", true, isMemberIsolated, 250, 17)),
        Optional.empty(),
        TargetEvidence.NONE);
  }

  @Test
  void isolationOfSenderAndOfMembersAreEncodedSeparately() {
    for (boolean isSenderIsolated : new boolean[] {false, true}) {
      for (boolean isMemberIsolated : new boolean[] {false, true}) {
        FleetMessage message = stateMessage(isSenderIsolated, isMemberIsolated);
        assertEquals(
            new Result.Success<>(message), FleetCodec.decode(FleetCodec.encode(message), "peer"));
      }
    }
  }

  /** A datagram of a release without isolated entries, which may run beside this one. */
  @Test
  void datagramOfThePreviousFormIsReadAndWrittenAsBefore() {
    byte[] previous =
        HexFormat.of()
            .parseHex(
                "080111f9ffffffffffffff1a016120013001380b421d0a0831302e302e302e39"
                    + "1163000000000000001a0162200128fa0130115017");
    FleetMessage message = stateMessage(false, false);
    assertEquals(new Result.Success<>(message), FleetCodec.decode(previous, "peer"));
    assertArrayEquals(previous, FleetCodec.encode(message));
  }

  @Test
  void rulesWithManyRoutesFitIntoOneDatagram() {
    int bytes = FleetCodec.encode(message(1_000)).length;
    assertTrue(bytes <= MAX_DATAGRAM_BYTES, bytes + " bytes");
  }

  /** Any process may send to the port; a malformed datagram must be refused, not partly applied. */
  @Test
  void corruptedDatagramsAreRefusedWithoutAnException() {
    byte[] valid = FleetCodec.encode(message(5));
    SplittableRandom random = new SplittableRandom(11);
    for (int i = 0; i < 2_000; i++) {
      byte[] corrupted = Arrays.copyOf(valid, random.nextInt(valid.length) + 1);
      corrupted[random.nextInt(corrupted.length)] = (byte) random.nextInt();
      FleetCodec.decode(corrupted, "peer");
    }
    assertInstanceOf(Result.Failed.class, FleetCodec.decode(new byte[] {1, 2, 3}, "peer"));
  }

  @Test
  void unknownProtocolIsRefused() {
    assertInstanceOf(Result.Failed.class, FleetCodec.decode(new byte[] {8, 9}, "peer"));
  }
}
