/** Kinds of requests by their answer and by whether they may run again. @public */
export type RequestKind =
  | "idempotent calls"
  | "calls run once"
  | "resumable streams"
  | "streams run once";
