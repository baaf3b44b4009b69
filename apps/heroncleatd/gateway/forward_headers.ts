import { headerValue } from "@heroncleat/base";
import type { CallerRequest } from "./caller_request.ts";
import type { HeaderNames } from "./header_names.ts";
import { priorityOf } from "./priority_of.ts";
import { relayHeaders } from "./relay/relay_headers.ts";

/**
 * Headers that aren't forwarded: those of a single connection (RFC 9110,
 * section 7.6.1), `expect`, `content-length` and those between entries.
 */
const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
  "connection",
  "keep-alive",
  "proxy-connection",
  "proxy-authenticate",
  "proxy-authorization",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "expect",
  "content-length",
  relayHeaders.grant,
  relayHeaders.refusal,
  relayHeaders.version,
  relayHeaders.upstream,
]);

/** The header values that differ between attempts. */
type AttemptHeaders = {
  readonly upstream: string;
  readonly timeLeft: number;
  readonly lastEvent: string | undefined;
  /** host:port of an upstream to fetch cached prompt parts from, if any. */
  readonly fetchFrom: string | undefined;
};

/** Builds the headers that are forwarded to upstreams and back to callers. */
export const forwardHeaders = {
  /** Returns the headers of one attempt as alternating names and values. */
  toUpstream(
    request: CallerRequest,
    options: { names: HeaderNames; attempt: AttemptHeaders },
  ): string[] {
    const { names, attempt } = options;
    const replacedNames = new Set([
      names.timeLeft,
      names.key,
      names.workspace,
      names.expectedUpstream,
      names.priority,
      names.fetchFrom,
      ...names.reserved,
    ]);
    if (attempt.lastEvent !== undefined) {
      replacedNames.add(names.lastEvent);
    }
    const headers = filterHeaders(request.rawHeaders, replacedNames);
    headers.push(names.timeLeft, String(Math.floor(attempt.timeLeft)));
    headers.push(names.expectedUpstream, headerValue.encode(attempt.upstream));
    headers.push(names.priority, String(priorityOf(request)));
    if (request.workspace !== undefined) {
      headers.push(names.workspace, headerValue.encode(request.workspace.name));
    }
    if (attempt.fetchFrom !== undefined) {
      headers.push(names.fetchFrom, attempt.fetchFrom);
    }
    if (attempt.lastEvent !== undefined) {
      headers.push(names.lastEvent, headerValue.encode(attempt.lastEvent));
    }
    headers.push("Content-Length", String(request.body.length));
    return headers;
  },

  /**
   * Returns the headers of a request that is passed on to another entry, as
   * alternating names and values, without the caller's key.
   */
  toEntry(
    request: CallerRequest,
    options: {
      names: HeaderNames;
      timeLeft: number;
      lastEvent: string | undefined;
    },
  ): string[] {
    const { names, timeLeft, lastEvent } = options;
    const replacedNames = new Set([names.timeLeft, names.key]);
    if (lastEvent !== undefined) {
      replacedNames.add(names.lastEvent);
    }
    const headers = filterHeaders(request.rawHeaders, replacedNames);
    headers.push(names.timeLeft, String(Math.floor(timeLeft)));
    if (lastEvent !== undefined) {
      headers.push(names.lastEvent, headerValue.encode(lastEvent));
    }
    headers.push("Content-Length", String(request.body.length));
    return headers;
  },

  /**
   * Returns the headers of an upstream's response that are passed on to the
   * caller.
   */
  toCaller(rawHeaders: readonly string[]): string[] {
    return filterHeaders(rawHeaders, NO_NAMES);
  },
};

const NO_NAMES: ReadonlySet<string> = new Set();

function filterHeaders(
  rawHeaders: readonly string[],
  replacedNames: ReadonlySet<string>,
): string[] {
  const connectionNames = listedInConnectionHeader(rawHeaders);
  const kept: string[] = [];
  for (let at = 0; at + 1 < rawHeaders.length; at += 2) {
    const name = rawHeaders[at]!.toLowerCase();
    if (
      CONNECTION_HEADERS.has(name) || replacedNames.has(name) ||
      connectionNames.has(name)
    ) {
      continue;
    }
    kept.push(rawHeaders[at]!, rawHeaders[at + 1]!);
  }
  return kept;
}

/** Returns the header names that `Connection` headers list. */
function listedInConnectionHeader(rawHeaders: readonly string[]): Set<string> {
  const connectionNames = new Set<string>();
  for (let at = 0; at + 1 < rawHeaders.length; at += 2) {
    if (rawHeaders[at]!.toLowerCase() !== "connection") {
      continue;
    }
    for (const name of rawHeaders[at + 1]!.split(",")) {
      connectionNames.add(name.trim().toLowerCase());
    }
  }
  return connectionNames;
}
