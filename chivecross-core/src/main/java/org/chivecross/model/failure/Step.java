package org.chivecross.model.failure;

/** Step in which a failure occurred. */
public enum Step {
  SETTINGS,
  FILE_SET,
  ACCEPT,
  ROUTE,
  ADMIT,
  SELECT_TARGET,
  CONNECT,
  SEND_REQUEST,
  AWAIT_RESPONSE,
  RELAY_RESPONSE,
  KEY_LOOKUP,
  PEER_MESSAGE,
  PLATFORM_READ,
  PROBE,
  ADMINISTRATION,
  SHUTDOWN
}
