/**
 * JSON-RPC between the system's own processes over TCP, with a proof of the
 * shared secret, checked frames and bounded queues.
 *
 * @module
 */
export type { MethodHandler } from "./method_handler.ts";
export { PeerPool } from "./peer_pool.ts";
export { PeerServer } from "./peer_server.ts";
