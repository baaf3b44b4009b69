/**
 * Building blocks of the other packages: time, random numbers, identifiers and
 * errors.
 *
 * @module
 */
export type { Clock } from "./clock.ts";
export type { Fault } from "./fault.ts";
export type { Milliseconds } from "./milliseconds.ts";
export type { Random } from "./random.ts";
export { createFault } from "./create_fault.ts";
export { createRecord } from "./create_record.ts";
export { createSeededRandom } from "./create_seeded_random.ts";
export { createSystemClock } from "./create_system_clock.ts";
export { createToken } from "./create_token.ts";
export { FaultKind } from "./fault_kind.ts";
export { formatRequestId } from "./format_request_id.ts";
export { headerValue } from "./header_value.ts";
export { isConnectableAddress } from "./is_connectable_address.ts";
export { listenAt } from "./listen_at.ts";
export { ownValue } from "./own_value.ts";
export { parseRequestId } from "./parse_request_id.ts";
export { RateLimiter } from "./rate_limiter.ts";
export { ShutdownSignal } from "./shutdown_signal.ts";
export { splitAddress } from "./split_address.ts";
export { splitList } from "./split_list.ts";
export { timerDelay } from "./timer_delay.ts";
export { unreachable } from "./unreachable.ts";
export { waitForAddress } from "./wait_for_address.ts";
