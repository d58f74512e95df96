package org.chivecross.model.history;

import com.fasterxml.jackson.annotation.JsonIgnore;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.chivecross.model.fileset.RequestClass;

/**
 * One line of a history, as {@code docs/history-format.md} describes it. Immutable.
 *
 * <p>In all events, {@code at} is the time in microseconds since the epoch and {@code by} the name
 * of the process that wrote the line. Absent keys, outcomes and digests are empty strings.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "event")
@JsonSubTypes({
  @JsonSubTypes.Type(value = HistoryEvent.Call.class, name = "call"),
  @JsonSubTypes.Type(value = HistoryEvent.Answer.class, name = "answer"),
  @JsonSubTypes.Type(value = HistoryEvent.Broken.class, name = "broken"),
  @JsonSubTypes.Type(value = HistoryEvent.Fenced.class, name = "fenced"),
  @JsonSubTypes.Type(value = HistoryEvent.Run.class, name = "run"),
  @JsonSubTypes.Type(value = HistoryEvent.Ran.class, name = "ran"),
  @JsonSubTypes.Type(value = HistoryEvent.Leaving.class, name = "leaving"),
  @JsonSubTypes.Type(value = HistoryEvent.Back.class, name = "back"),
  @JsonSubTypes.Type(value = HistoryEvent.Stop.class, name = "stop"),
  @JsonSubTypes.Type(value = HistoryEvent.Stopped.class, name = "stopped"),
  @JsonSubTypes.Type(value = HistoryEvent.Config.class, name = "config"),
  @JsonSubTypes.Type(value = HistoryEvent.Published.class, name = "published")
})
public sealed interface HistoryEvent {

  /** Returns the time in microseconds since the epoch. */
  long at();

  /** Returns the name of the process that wrote the line. */
  String by();

  /**
   * A caller is about to send a request.
   *
   * @param request identifier of the call
   * @param requestClass class of the request
   * @param key idempotency key
   * @param entry address of the entry
   * @param digest digest of the request body
   */
  record Call(
      long at,
      String by,
      String request,
      @JsonProperty("class") RequestClass requestClass,
      String key,
      String entry,
      String digest)
      implements HistoryEvent {}

  /**
   * A caller received a complete answer.
   *
   * @param request identifier of the call
   * @param status HTTP status
   * @param outcome outcome that the entry stated; empty for a relayed answer
   * @param digest digest of the body received
   * @param length bytes of the body received
   */
  record Answer(
      long at, String by, String request, int status, String outcome, String digest, long length)
      implements HistoryEvent {

    /** Returns whether an upstream gave the answer. */
    @JsonIgnore
    public boolean isRelayed() {
      return outcome.isEmpty();
    }
  }

  /**
   * A caller received no complete answer.
   *
   * @param request identifier of the call
   * @param reason {@code closed}, {@code cut} or {@code timeout}
   */
  record Broken(long at, String by, String request, String reason) implements HistoryEvent {}

  /**
   * A caller was informed that its key was cancelled and never runs.
   *
   * @param key idempotency key
   */
  record Fenced(long at, String by, String key) implements HistoryEvent {}

  /**
   * An upstream starts to run a request.
   *
   * @param request identifier of the call
   * @param requestClass class of the request
   * @param key idempotency key
   * @param upstream address of the upstream
   * @param digest digest of the request body as received
   */
  record Run(
      long at,
      String by,
      String request,
      @JsonProperty("class") RequestClass requestClass,
      String key,
      String upstream,
      String digest)
      implements HistoryEvent {}

  /**
   * An upstream finished or aborted the answer to a request.
   *
   * @param request identifier of the call
   * @param upstream address of the upstream
   * @param status HTTP status
   * @param digest digest of the answer body
   * @param length bytes of the answer body
   * @param complete false if the connection broke before the last byte was written
   */
  record Ran(
      long at,
      String by,
      String request,
      String upstream,
      int status,
      String digest,
      long length,
      boolean complete)
      implements HistoryEvent {}

  /**
   * The first evidence that an upstream is leaving.
   *
   * @param upstream address of the upstream
   */
  record Leaving(long at, String by, String upstream) implements HistoryEvent {}

  /**
   * Evidence that an upstream is no longer leaving.
   *
   * @param upstream address of the upstream
   */
  record Back(long at, String by, String upstream) implements HistoryEvent {}

  /**
   * A node begins to stop.
   *
   * @param node address of the entry or upstream
   * @param planned false if the process is killed
   */
  record Stop(long at, String by, String node, boolean planned) implements HistoryEvent {}

  /**
   * A node is about to exit.
   *
   * @param node address of the entry or upstream
   * @param inFlight number of requests in flight that are aborted
   */
  record Stopped(long at, String by, String node, int inFlight) implements HistoryEvent {}

  /**
   * A configuration version came into force at an entry.
   *
   * @param entry address of the entry
   * @param version version of the file set
   */
  record Config(long at, String by, String entry, long version) implements HistoryEvent {}

  /**
   * A configuration version was published.
   *
   * @param version version of the file set
   */
  record Published(long at, String by, long version) implements HistoryEvent {}
}
