/**
 * Why a request isn't sent on: upstreams ended under it (`rejected`), a copy of
 * such a one is under way (`held`), or this entry ends too soon (`leaving`).
 */
export type WithholdReason = "rejected" | "held" | "leaving";
