import type { Socket } from "node:net";

/** Connections of which bytes have been read that wait to be parsed. */
export const unparsedConnections = new WeakSet<Socket>();
