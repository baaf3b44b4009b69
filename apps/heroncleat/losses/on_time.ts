/** Reason of a request whose response began within its latency objective. */
export const ON_TIME = "on time";
