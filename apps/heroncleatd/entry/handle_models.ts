import { sendJson } from "../common/send_json.ts";
import type { CallerRequest } from "./caller_request.ts";
import type { EntryParts } from "./entry_parts.ts";

/** Handles a request for the models that are loaded at upstreams. */
export async function handleModels(
  parts: EntryParts,
  call: CallerRequest,
): Promise<void> {
  const models = await new Promise<string[]>((resolve) => {
    parts.dispatch.send({
      kind: "inspect",
      read: (router) => resolve(router.models),
    });
  });
  const data = models.map((id) => ({ id, object: "model" }));
  sendJson(call.response, 200, { object: "list", data });
}
