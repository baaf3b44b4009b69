/** Nothing accepts connections at the address any more. */
export const CONNECTION_REFUSED = "ECONNREFUSED";
