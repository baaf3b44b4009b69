import { createHmac, timingSafeEqual } from "node:crypto";

/** The side of a connection that makes the proof. */
type Side = "client" | "server";

/**
 * Mutual authentication with a shared secret: each side sends an HMAC of both
 * nonces, and the secret itself is never sent.
 *
 * @internal
 */
export const handshake = {
  /** Limit for a message of a peer that hasn't proved the secret yet. */
  maxPayloadBytes: 4 * 1024,

  prove(
    secret: string,
    options: { side: Side; clientNonce: string; serverNonce: string },
  ): string {
    const { side, clientNonce, serverNonce } = options;
    return createHmac("sha256", secret)
      .update(`${side} ${clientNonce} ${serverNonce}`)
      .digest("hex");
  },

  verify(
    secret: string,
    options: {
      side: Side;
      clientNonce: string;
      serverNonce: string;
      proof: unknown;
    },
  ): boolean {
    const expected = Buffer.from(handshake.prove(secret, options));
    const actual = Buffer.from(String(options.proof));
    return expected.length === actual.length &&
      timingSafeEqual(expected, actual);
  },
};
