import type { RequestRecord } from "@heroncleat/schema";
import { suspectedPartKey } from "@heroncleat/serving";
import { memoize } from "../common/memoize.ts";
import { requestDigest } from "../common/request_digest.ts";
import type { RequestIdentity } from "../common/request_identity.ts";
import { promptMessages } from "./prompt_messages.ts";

/**
 * Returns the identity of a generation, which is the same at its owner and
 * standby.
 */
export function identifyGeneration(record: RequestRecord): RequestIdentity {
  const { id, workspace, model, kind } = record;
  const body = Buffer.from(record.body);
  return {
    attempt: id,
    workspace,
    service: model,
    size: body.length,
    digest: memoize(() =>
      requestDigest({ method: "POST", host: "", target: kind, workspace, body })
    ),
    parts: memoize(() =>
      promptMessages(record.body).slice(0, -1).map((message) =>
        suspectedPartKey(model, message)
      )
    ),
  };
}
