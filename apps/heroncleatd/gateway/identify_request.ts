import type { IncomingMessage } from "node:http";
import { suspectedPartKey } from "@heroncleat/serving";
import { memoize } from "../common/memoize.ts";
import { requestDigest } from "../common/request_digest.ts";
import type { RequestIdentity } from "../common/request_identity.ts";
import type { Prompt } from "./prompt.ts";

/** Identifies a request among its copies, to find those that end upstreams. */
export function identifyRequest(
  incoming: IncomingMessage,
  options: {
    attempt: string;
    service: string;
    workspace: string;
    body: Buffer;
    prompt: Prompt | undefined;
  },
): RequestIdentity {
  const { attempt, service, workspace, body, prompt } = options;
  return {
    attempt,
    workspace,
    service,
    size: body.length,
    digest: memoize(() =>
      requestDigest({
        method: incoming.method ?? "GET",
        host: incoming.headers.host ?? "",
        target: incoming.url ?? "/",
        workspace,
        body,
      })
    ),
    parts: memoize(() => {
      const shared = (prompt?.parts ?? []).slice(0, -1);
      return shared.map(({ id }) => suspectedPartKey(service, id));
    }),
  };
}
