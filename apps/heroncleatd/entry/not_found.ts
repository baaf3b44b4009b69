import type { ForwardedAnswer } from "@heroncleat/schema";

/** Reply of an entry that doesn't hold a request. */
export const NOT_FOUND: ForwardedAnswer = {
  found: false,
  denied: false,
  upstream: "",
  pieces: [],
  finished: false,
  finishReason: "",
};
