package org.chivecross.logic.history;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.util.List;
import org.chivecross.model.failure.Result;
import org.chivecross.model.fileset.RequestClass;
import org.chivecross.model.history.HistoryEvent;
import org.junit.jupiter.api.Test;

class HistoryCodecTest {

  @Test
  void readsBackWhatItWrites() {
    List<HistoryEvent> events =
        List.of(
            new HistoryEvent.Call(1, "load", "r", RequestClass.WRITE, "k", "e", "d"),
            new HistoryEvent.Answer(2, "load", "r", 200, "", "d", 3),
            new HistoryEvent.Broken(3, "load", "r", "closed"),
            new HistoryEvent.Fenced(4, "load", "k"),
            new HistoryEvent.Run(5, "up", "r", RequestClass.READ, "", "u", "d"),
            new HistoryEvent.Ran(6, "up", "r", "u", 200, "d", 3, true),
            new HistoryEvent.Leaving(7, "up", "u"),
            new HistoryEvent.Back(8, "up", "u"),
            new HistoryEvent.Stop(9, "e", "e", true),
            new HistoryEvent.Stopped(10, "e", "e", 0),
            new HistoryEvent.Config(11, "e", "e", 4),
            new HistoryEvent.Published(12, "h", 4));
    HistoryCodec codec = new HistoryCodec();
    Result<List<HistoryEvent>> read =
        codec.read("run.history", events.stream().map(codec::write).toList());
    assertEquals(events, assertInstanceOf(Result.Success.class, read).value());
  }
}
