/** Method of every peer; detects unresponsive connections. @internal */
export const CONNECTION_CHECK_METHOD = "transport.check";
