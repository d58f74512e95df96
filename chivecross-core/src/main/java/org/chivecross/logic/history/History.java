package org.chivecross.logic.history;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.chivecross.model.fileset.RequestClass;
import org.chivecross.model.history.HistoryEvent;

/**
 * Events of a test run in chronological order, with indexes. Immutable and safe for use by many
 * threads.
 */
public final class History {

  private final List<HistoryEvent> events;
  private final Map<String, HistoryEvent.Call> calls = new HashMap<>();
  private final Map<String, List<HistoryEvent.Run>> runsByRequest;
  private final Map<String, List<HistoryEvent.Run>> runsByKey;
  private final Map<String, List<HistoryEvent.Ran>> ransByRequest;

  /** Creates a history from the events of all processes, in any order. */
  public History(List<HistoryEvent> unordered) {
    List<HistoryEvent> ordered = new ArrayList<>(unordered);
    ordered.sort(Comparator.comparingLong(HistoryEvent::at));
    events = List.copyOf(ordered);
    for (HistoryEvent.Call call : all(HistoryEvent.Call.class)) {
      calls.put(call.request(), call);
    }
    runsByRequest = index(all(HistoryEvent.Run.class), HistoryEvent.Run::request);
    runsByKey = index(keyedRuns(), HistoryEvent.Run::key);
    ransByRequest = index(all(HistoryEvent.Ran.class), HistoryEvent.Ran::request);
  }

  /** Returns all events of a type in chronological order. */
  public <T extends HistoryEvent> List<T> all(Class<T> type) {
    List<T> found = new ArrayList<>();
    for (HistoryEvent event : events) {
      if (type.isInstance(event)) {
        found.add(type.cast(event));
      }
    }
    return found;
  }

  /** Returns the calls by request identifier. */
  Map<String, HistoryEvent.Call> calls() {
    return calls;
  }

  List<HistoryEvent.Run> runsOfRequest(String request) {
    return runsByRequest.getOrDefault(request, List.of());
  }

  List<HistoryEvent.Run> runsOfKey(String key) {
    return runsByKey.getOrDefault(key, List.of());
  }

  Map<String, List<HistoryEvent.Run>> runsByRequest() {
    return runsByRequest;
  }

  Map<String, List<HistoryEvent.Run>> runsByKey() {
    return runsByKey;
  }

  List<HistoryEvent.Ran> ransOfRequest(String request) {
    return ransByRequest.getOrDefault(request, List.of());
  }

  /** Returns the time of the last event; 0 for an empty history. */
  long end() {
    return events.isEmpty() ? 0 : events.get(events.size() - 1).at();
  }

  /** Returns the runs with an idempotency key; keys are ignored for idempotent requests. */
  private List<HistoryEvent.Run> keyedRuns() {
    List<HistoryEvent.Run> keyed = new ArrayList<>(all(HistoryEvent.Run.class));
    keyed.removeIf(run -> run.key().isEmpty() || run.requestClass() == RequestClass.READ);
    return keyed;
  }

  private static <T> Map<String, List<T>> index(List<T> all, Function<T, String> key) {
    Map<String, List<T>> found = new HashMap<>();
    for (T one : all) {
      found.computeIfAbsent(key.apply(one), name -> new ArrayList<>()).add(one);
    }
    return found;
  }
}
