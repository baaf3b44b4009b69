/**
 * JSON-RPC over TCP between the system's own processes, authenticated with a
 * shared secret, with frame checksums and bounded send queues.
 *
 * @module
 */
export type { Disconnect } from "./disconnect.ts";
export type { MethodHandler } from "./method_handler.ts";
export { PeerPool } from "./peer_pool.ts";
export type { PeerRefusal } from "./peer_refusal.ts";
export { PeerServer } from "./peer_server.ts";
export { RefusalCause } from "./refusal_cause.ts";
