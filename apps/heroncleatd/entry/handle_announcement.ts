import type { IncomingMessage, ServerResponse } from "node:http";
import { createFault } from "@heroncleat/base";
import { checkAnnouncement, checkCacheEvent } from "@heroncleat/schema";
import type { BodyReader } from "../common/body_reader.ts";
import type { KeyRing } from "../common/key_ring.ts";
import { parseJson } from "../common/parse_json.ts";
import { readBearer } from "../common/read_bearer.ts";
import { sendFault } from "../common/send_fault.ts";
import { sendJson } from "../common/send_json.ts";
import type { EntryParts } from "./entry_parts.ts";

const MAX_BODY_BYTES = 64 * 1024;
const CACHE_EVENTS_PATH = /^\/v1\/upstreams\/([^/]+)\/cache_events$/;

/** Handles an upstream's announcement or an event of its prefix cache. */
export async function handleAnnouncement(
  parts: EntryParts,
  request: IncomingMessage,
  options: {
    response: ServerResponse;
    upstreamKeys: KeyRing;
    bodies: BodyReader;
    path: string;
  },
): Promise<void> {
  const { response, upstreamKeys, bodies, path } = options;
  if (upstreamKeys.holderOf(readBearer(request)) === undefined) {
    sendFault(
      response,
      createFault(
        "unauthorized",
        "The shared secret is missing or wrong. Remedy: give the upstream the " +
          "content of shared_secret_file.",
      ),
    );
    return;
  }
  const body = await bodies.read(request, {
    response,
    maxBytes: MAX_BODY_BYTES,
  });
  if (body.isErr) {
    sendFault(response, body.error);
    return;
  }
  const cachePath = CACHE_EVENTS_PATH.exec(path);
  if (cachePath !== null) {
    applyCacheEvent(parts, response, { body: body.value, name: cachePath[1]! });
    return;
  }
  applyAnnouncement(parts, response, body.value);
}

function applyAnnouncement(
  parts: EntryParts,
  response: ServerResponse,
  body: Buffer,
): void {
  const announcement = parseJson(body, checkAnnouncement);
  if (announcement.isErr) {
    sendFault(response, announcement.error);
    return;
  }
  parts.membership.send({
    kind: "event",
    event: { kind: "announce", announcement: announcement.value },
  });
  sendJson(response, 200, { lease: parts.context.entry.upstream_lease });
}

function applyCacheEvent(
  parts: EntryParts,
  response: ServerResponse,
  options: { body: Buffer; name: string },
): void {
  const event = parseJson(options.body, checkCacheEvent);
  if (event.isErr) {
    sendFault(response, event.error);
    return;
  }
  parts.dispatch.send({
    kind: "cache_event",
    upstream: options.name,
    event: event.value,
  });
  sendJson(response, 200, {});
}
