import type { IncomingHttpHeaders } from "node:http";
import {
  type OriginSearchResult,
  type Route,
  RouteKind,
  type Workspace,
} from "@heroncleat/serving";
import { findResumption } from "./find_resumption.ts";
import { streamKey } from "./stream_key.ts";
import { testHeaderNames as names } from "../test_header_names.ts";

const SEARCH_TIME_MS = 40;

const metrics = { increment() {}, gauge() {}, timing() {}, close() {} };
const route: Route = {
  name: "r",
  host: "h",
  pathPrefix: "/",
  kind: RouteKind.streaming,
  targets: [{ service: "desk", weight: 1 }, { service: "bar", weight: 0 }],
  timeout: 1000,
  latencyObjective: 100,
  priority: 0,
  maxAttempts: 2,
  isPublic: true,
  isResumable: true,
};
const inn = { name: "inn" } as Workspace;
const stream = streamKey({ workspace: "inn", attempt: "a1" });
const origin = { service: "desk", version: "v2" };

/** Resumes at an entry that knows the stream `a1` of the workspace `inn`. */
async function resume(
  headers: IncomingHttpHeaders,
  options: {
    route?: Route;
    workspace?: Workspace;
    service?: string;
    unanswered?: number;
    found?: OriginSearchResult;
  } = {},
) {
  const searched: string[] = [];
  let now = 100;
  const result = await findResumption(headers, {
    route: options.route ?? route,
    workspace: options.workspace ?? inn,
    names,
    metrics,
    clock: { steady: () => now },
    streams: {
      find: (key): Promise<OriginSearchResult> => {
        searched.push(key);
        now += SEARCH_TIME_MS;
        if (options.found !== undefined) {
          return Promise.resolve(options.found);
        }
        const service = options.service ?? origin.service;
        const { unanswered = 0 } = options;
        return Promise.resolve(
          key === stream
            ? {
              kind: "found",
              origin: { ...origin, service },
              by: "e",
              source: "own",
              age: 7,
            }
            : { kind: "unknown", unanswered },
        );
      },
    },
  });
  return { result, searched };
}

const resumes = { [names.resumes]: "a1", [names.lastEvent]: "3" };

test("a request that names a known stream is bound to its origin", async () => {
  const { result } = await resume(resumes);
  expect(result).toEqual({
    kind: "resumed",
    resumption: {
      stream,
      origin,
      by: "e",
      age: 7,
      search: {
        source: "own",
        took: SEARCH_TIME_MS,
        asked: 0,
        unanswered: 0,
      },
    },
  });
});

test("a stream is bound also if its caller doesn't name the last event", async () => {
  const { result } = await resume({ [names.resumes]: "a1" });
  expect(result.kind).toBe("resumed");
});

test.each<[string, IncomingHttpHeaders, Workspace]>([
  ["that is made up", { ...resumes, [names.resumes]: "x" }, inn],
  ["with a long name", { [names.resumes]: "a".repeat(16_000) }, inn],
  ["of another workspace", resumes, { name: "bar" } as Workspace],
  ["that isn't named", { [names.lastEvent]: "3" }, inn],
])("a stream %s is refused", async (_name, headers, workspace) => {
  const { result, searched } = await resume(headers, { workspace });
  expect(result).toMatchObject({ kind: "refused", response: { status: 503 } });
  expect(searched.every((key) => key.length <= 22)).toBe(true);
});

test("a caller returns sooner if another entry may know the stream", async () => {
  const headers = { ...resumes, [names.resumes]: "x" };
  const delayOf = async (unanswered: number) => {
    const { result } = await resume(headers, { unanswered });
    return result.kind === "refused" ? result.response.retryAfter! : NaN;
  };
  expect(await delayOf(1)).toBeLessThan(await delayOf(0));
});

test("a stream isn't resumed at a service that its route no longer leads to", async () => {
  const { result } = await resume(resumes, { service: "bar" });
  expect(result).toMatchObject({ kind: "refused", response: { status: 503 } });
});

test.each([
  ["begins a stream", {}, route],
  ["is for a route whose streams can't be resumed", resumes, {
    ...route,
    isResumable: false,
  }],
])("nothing is searched for a request that %s", async (_name, headers, to) => {
  const { result, searched } = await resume(headers, { route: to });
  expect(result).toEqual({ kind: "none" });
  expect(searched).toEqual([]);
});

test.each<[string, OriginSearchResult, object]>([
  [
    "its own record",
    { kind: "found", origin, by: "e", source: "own", age: 7 },
    {
      source: "own",
    },
  ],
  ["the only version", {
    kind: "found",
    origin,
    by: "e",
    source: "only",
    age: 0,
  }, {
    source: "only",
  }],
  [
    "a control replica",
    { kind: "found", origin, by: "h:1", age: 7, source: "replica" },
    { source: "replica" },
  ],
  ["nowhere", { kind: "unknown", asked: 9, unanswered: 2 }, {
    source: "none",
    asked: 9,
    unanswered: 2,
  }],
])("an origin found at %s is told apart", async (_name, found, expected) => {
  const { result } = await resume(resumes, { found });
  const search = result.kind === "resumed"
    ? result.resumption.search
    : result.kind === "refused" && result.search;
  expect(search).toMatchObject({ took: SEARCH_TIME_MS, ...expected });
});
