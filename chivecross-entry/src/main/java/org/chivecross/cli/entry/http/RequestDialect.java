package org.chivecross.cli.entry.http;

import java.util.Optional;
import java.util.OptionalLong;
import org.chivecross.model.failure.Failure;
import org.chivecross.model.request.Outcome;
import org.chivecross.model.request.ResponseHead;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.http.util.MimeHeaders;

/**
 * How deadlines, proofs, load and outcomes are spelled between callers, entries and targets.
 * Implementations are immutable and safe for use by many threads.
 */
public interface RequestDialect {

  /** Returns the time that a caller waits, in ms; empty when it states none. */
  Optional<Long> deadlineMillis(MimeHeaders headers);

  /** Returns the name that a caller gave this try of its request. */
  Optional<String> requestId(MimeHeaders headers);

  /** Returns how deep in a chain of calls a request is; 0 for a call from outside. */
  int depth(MimeHeaders headers);

  /** Returns whether a header of a request, in lower case, is replaced by {@link #addEntryHeaders}. */
  boolean isReplaced(String name);

  /** Returns whether a header of a response, in lower case, is kept from callers. */
  boolean isInternal(String name);

  /**
   * Adds the headers that this entry sets itself to a request for a target.
   *
   * @param to headers that go to the target
   * @param from headers of the caller
   * @param remainingMillis time left for the target, in ms
   * @param target name of the target that must serve it; empty when it has none
   * @param callerAddress IP number of the caller
   */
  void addEntryHeaders(
      MimeHeaders to,
      MimeHeaders from,
      long remainingMillis,
      Optional<String> target,
      String callerAddress);

  /** Returns what the decisions need of a response. */
  ResponseHead toDecisionHead(HttpResponsePacket response);

  /** Returns whether a response can be the one to this request, as far as its head tells. */
  boolean isResponseTo(MimeHeaders request, HttpResponsePacket response);

  /** Returns whether a body may end with its connection. */
  boolean allowsBodyUntilClose();

  /**
   * Builds an answer that this entry gives itself.
   *
   * @param retryAfterMillis when the caller may ask again, in ms
   */
  LocalResponse answer(int status, Outcome outcome, Failure failure, OptionalLong retryAfterMillis);
}
