import { createHmac, timingSafeEqual } from "node:crypto";

/** Which side of a connection proves that it knows the secret. */
type Side = "client" | "server";

/**
 * Mutual proof of the shared secret: each side signs both nonces, and the
 * secret itself is never sent.
 *
 * @internal
 */
export const handshake = {
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
    const found = Buffer.from(String(options.proof));
    return expected.length === found.length && timingSafeEqual(expected, found);
  },
};
