import type { Fault } from "@heroncleat/base";

/** HTTP status of each kind of fault. */
export const FAULT_STATUS: Readonly<Record<Fault["kind"], number>> = {
  bad_request: 400,
  unauthorized: 401,
  forbidden: 403,
  not_found: 404,
  too_large: 413,
  timeout: 408,
  conflict: 409,
  in_progress: 409,
  overloaded: 429,
  no_upstream: 503,
  no_standby: 503,
  no_quorum: 503,
  lease_lapsed: 503,
  leaving: 503,
  upstream_failed: 502,
  outcome_unknown: 502,
  not_leader: 503,
  settings: 500,
  damaged: 500,
  internal: 500,
};
