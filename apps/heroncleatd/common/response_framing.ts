/** How the end of a response's body is marked (RFC 9112, section 6.3). */
export const ResponseFraming = {
  /** There is no body. */
  bodiless: "bodiless",
  length: "length",
  chunked: "chunked",
  /**
   * The body ends with the connection, so one that was cut short can't be told
   * from a complete one.
   */
  connectionEnd: "connection_end",
} as const;

export type ResponseFraming =
  typeof ResponseFraming[keyof typeof ResponseFraming];
