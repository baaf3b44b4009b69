import type { Socket } from "node:net";

/**
 * Connections whose last response refused a request. What still arrives there is
 * dropped until their callers close them.
 */
export const refusedConnections = new WeakSet<Socket>();
