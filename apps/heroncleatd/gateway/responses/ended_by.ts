/**
 * What ended a connection in use before the response was complete, for logs and
 * metrics.
 */
export const EndedBy = {
  /** The caller closed its connection. */
  caller: "caller",
  /** The server for callers closed it: bytes that are no request, a timeout. */
  callerServer: "caller_server",
  deadline: "deadline",
  /** The connection to the upstream, or to the entry in between, ended. */
  upstream: "upstream",
  /** This entry closed it, as the response exceeded a limit on bytes. */
  limit: "limit",
  /** This entry gave up a silent run of an instance that was replaced. */
  replacedInstance: "replaced_instance",
  /** This entry gave up waiting, as it reaches no upstream. */
  unreachable: "unreachable",
  /** This entry closed it, as the response isn't one to the request. */
  invalidResponse: "invalid_response",
  /** This entry failed; the line has the error. */
  failure: "failure",
  /** The response came from another version than the stream's. */
  otherVersion: "other_version",
  shutdown: "shutdown",
} as const;

export type EndedBy = typeof EndedBy[keyof typeof EndedBy];
