import type { Socket, TcpNetConnectOpts } from "node:net";

/** Opens a TCP connection to an upstream, like `connect` of `node:net`. */
export type ConnectionOpener = (options: TcpNetConnectOpts) => Socket;
