package org.chivecross.logic.directory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.chivecross.logic.config.ConfigView;
import org.chivecross.logic.membership.MemberView;
import org.chivecross.logic.peer.NodeView;
import org.chivecross.model.manifest.ConfigVersion;
import org.chivecross.model.peer.EntryFlags;
import org.chivecross.model.peer.EntryMember;
import org.chivecross.model.peer.MemberState;
import org.junit.jupiter.api.Test;

class EntryDirectoryTest {

  private static final EntryFlags READY = new EntryFlags(false, true, false, false);
  private static final EntryFlags LEAVING = new EntryFlags(true, true, false, false);
  private static final EntryFlags OVERLOADED = new EntryFlags(false, true, true, false);

  private final SplittableRandom random = new SplittableRandom(3);

  private EntryMember entry(int number, String dataCentre, MemberState state, EntryFlags marks) {
    String address = "10.0.0." + number + ":80";
    return new EntryMember(random.nextLong(), address, address, dataCentre, 1, state, marks);
  }

  private static NodeView view(List<EntryMember> entries) {
    ConfigView config =
        new ConfigView(
            ConfigVersion.NONE,
            Optional.empty(),
            0,
            ConfigVersion.NONE,
            List.of(),
            ConfigVersion.NONE,
            List.of(),
            false,
            true,
            0,
            0,
            0);
    MemberView members = new MemberView(entries.get(0), entries.subList(1, entries.size()), true);
    return new NodeView(members, config, true, "");
  }

  @Test
  void leavingOverloadedUnreadySuspectAndDeadEntriesAreExcluded() {
    List<EntryMember> entries =
        List.of(
            entry(1, "a", MemberState.ALIVE, READY),
            entry(2, "a", MemberState.ALIVE, LEAVING),
            entry(3, "a", MemberState.ALIVE, OVERLOADED),
            entry(4, "a", MemberState.ALIVE, EntryFlags.STARTING),
            entry(5, "a", MemberState.SUSPECT, READY),
            entry(6, "a", MemberState.DEAD, READY));
    DirectoryAnswer answer = new EntryDirectory().answer("caller", "a", view(entries));
    assertEquals(List.of("10.0.0.1:80"), answer.addresses());
  }

  @Test
  void allEntriesExceptDeadOnesAreListedWhenNoneIsUsable() {
    List<EntryMember> entries =
        List.of(
            entry(1, "a", MemberState.ALIVE, LEAVING),
            entry(2, "a", MemberState.SUSPECT, READY),
            entry(3, "a", MemberState.DEAD, READY));
    List<String> addresses = new EntryDirectory().answer("caller", "a", view(entries)).addresses();
    assertEquals(2, addresses.size());
    assertFalse(addresses.contains("10.0.0.3:80"));
  }

  @Test
  void ownDataCentreComesFirst() {
    List<EntryMember> entries = new ArrayList<>();
    for (int i = 0; i < 9; i++) {
      entries.add(entry(i, "dc" + i % 3, MemberState.ALIVE, READY));
    }
    NodeView view = view(entries);
    for (int caller = 0; caller < 50; caller++) {
      List<String> addresses =
          new EntryDirectory().answer("caller" + caller, "dc1", view).addresses();
      assertEquals(9, addresses.size());
      List<String> own = List.of("10.0.0.1:80", "10.0.0.4:80", "10.0.0.7:80");
      assertTrue(own.containsAll(addresses.subList(0, 3)), addresses.toString());
    }
  }

  @Test
  void oneThousandCallersAreSpreadEvenlyOverTwentyEntries() {
    List<EntryMember> entries = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      entries.add(entry(i, "a", MemberState.ALIVE, READY));
    }
    NodeView view = view(entries);
    List<EntryDirectory> directories = new ArrayList<>();
    entries.forEach(unused -> directories.add(new EntryDirectory()));
    Map<String, Integer> first = new HashMap<>();
    for (int caller = 0; caller < 1_000; caller++) {
      EntryDirectory asked = directories.get(random.nextInt(directories.size()));
      first.merge(asked.answer("caller" + caller, "a", view).addresses().get(0), 1, Integer::sum);
    }
    int largest = first.values().stream().mapToInt(Integer::intValue).max().orElse(0);
    assertTrue(largest <= 1.25 * 1_000 / 20, "largest " + largest);
  }
}
