/** Codes of errors raised before a connection exists, so nothing was sent. */
export const CONNECT_ERRORS: readonly string[] = [
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "ENOTFOUND",
  "UND_ERR_CONNECT_TIMEOUT",
];
