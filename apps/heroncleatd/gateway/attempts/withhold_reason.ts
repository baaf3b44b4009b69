/**
 * Why a request isn't forwarded: upstreams crashed while running it
 * (`rejected`), a copy of such a request is in flight (`held`), or this entry
 * shuts down too soon (`leaving`).
 */
export type WithholdReason = "rejected" | "held" | "leaving";
