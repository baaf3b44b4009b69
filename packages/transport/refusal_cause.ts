/** Why a server closes a connection of its own accord. @public */
export const RefusalCause = {
  /** The peer didn't prove the shared secret. */
  handshake: "handshake",
  /** It made room for a newer connection. */
  connections: "connections",
  /** Unfinished messages of all peers took too much memory. */
  unfinished: "unfinished",
} as const;

/** @public */
export type RefusalCause = typeof RefusalCause[keyof typeof RefusalCause];
