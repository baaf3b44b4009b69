/** Errors that come before a connection exists, so that nothing was sent. */
export const CONNECT_ERRORS: readonly string[] = [
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "ENOTFOUND",
  "UND_ERR_CONNECT_TIMEOUT",
];
