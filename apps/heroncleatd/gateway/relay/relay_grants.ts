import { createHmac, timingSafeEqual } from "node:crypto";
import type { RelayGrant } from "./relay_grant.ts";

/** The request that a grant is for. */
type GrantedRequest = {
  readonly attempt: string;
  readonly method: string;
  /** Path and query. */
  readonly target: string;
  readonly body: Buffer;
};

/**
 * Signs and checks grants with the secret that entries share, so that callers
 * can't pass for an entry and skip the check of their key or their quota.
 */
export const relayGrants = {
  sign(
    grant: RelayGrant,
    options: { secret: string; request: GrantedRequest },
  ): string {
    const content = Buffer.from(JSON.stringify(grant)).toString("base64url");
    return `${content}.${proofOf(content, options)}`;
  },

  /** Returns the grant; undefined unless it was signed for this request. */
  verify(
    signed: unknown,
    options: { secret: string; request: GrantedRequest },
  ): RelayGrant | undefined {
    const [content = "", proof = ""] = String(signed).split(".");
    const expected = Buffer.from(proofOf(content, options));
    const actual = Buffer.from(proof);
    if (
      expected.length !== actual.length || !timingSafeEqual(expected, actual)
    ) {
      return undefined;
    }
    return JSON.parse(Buffer.from(content, "base64url").toString());
  },
};

function proofOf(
  content: string,
  { secret, request }: { secret: string; request: GrantedRequest },
): string {
  const { attempt, method, target, body } = request;
  return createHmac("sha256", secret)
    .update(JSON.stringify([content, attempt, method, target]))
    .update(body)
    .digest("base64url");
}
