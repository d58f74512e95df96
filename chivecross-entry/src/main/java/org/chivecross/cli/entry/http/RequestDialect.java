package org.chivecross.cli.entry.http;

import java.util.Optional;
import java.util.OptionalLong;
import org.chivecross.model.failure.Failure;
import org.chivecross.model.request.Outcome;
import org.chivecross.model.request.ResponseHead;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.http.util.MimeHeaders;

/**
 * The headers and responses that carry deadlines, not-run proofs, load reports and outcomes between
 * callers, entries and targets. Implementations are immutable and safe for use by many threads.
 */
public interface RequestDialect {

  /** Returns the caller's deadline in ms from the arrival of the request; empty if it has none. */
  Optional<Long> deadlineMillis(MimeHeaders headers);

  /** Returns the id that the caller gave this try of its request, if any. */
  Optional<String> requestId(MimeHeaders headers);

  /** Returns the depth of a request in its chain of calls; 0 for a call from outside. */
  int depth(MimeHeaders headers);

  /** Returns whether {@link #addEntryHeaders} replaces a request header, given in lower case. */
  boolean isReplaced(String name);

  /** Returns whether a response header, given in lower case, is not relayed to callers. */
  boolean isInternal(String name);

  /**
   * Adds the headers that this entry sets itself to a request for a target.
   *
   * @param to headers that go to the target
   * @param from headers of the caller
   * @param remainingMillis time left for the target, in ms
   * @param target name of the target that must serve the request; empty if it has none
   * @param callerAddress IP address of the caller
   */
  void addEntryHeaders(
      MimeHeaders to,
      MimeHeaders from,
      long remainingMillis,
      Optional<String> target,
      String callerAddress);

  /** Returns the parts of a response head that the decisions need. */
  ResponseHead toDecisionHead(HttpResponsePacket response);

  /**
   * Returns whether a response can belong to a probe, judged by its head. A response to an earlier
   * request may arrive late on the same connection.
   */
  boolean isResponseToProbe(HttpResponsePacket response);

  /**
   * Returns whether a late second copy of a response would be recognised if its connection were in
   * use again.
   */
  boolean isCopyRecognisable(HttpResponsePacket response);

  /** Returns whether a response can belong to a request, judged by its head. */
  boolean isResponseTo(MimeHeaders request, HttpResponsePacket response);

  /** Returns whether a response body may end with the close of its connection. */
  boolean allowsBodyUntilClose();

  /**
   * Builds a response that this entry generates itself.
   *
   * @param retryAfterMillis time after which the caller may retry, in ms
   */
  LocalResponse answer(int status, Outcome outcome, Failure failure, OptionalLong retryAfterMillis);

  /**
   * Adds to an answer of this entry what the entry that forwarded the request needs: that it
   * belongs to the request and, if so, the proof that the request did not run.
   *
   * @param request headers of the forwarded request
   */
  LocalResponse answerToEntry(LocalResponse answer, MimeHeaders request, Outcome outcome);
}
