/** Message of the error when an upstream doesn't accept a connection in time. */
export const CONNECT_TIMEOUT_REASON = "connecting took too long";
