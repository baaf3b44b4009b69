import { RouteKind } from "@heroncleat/serving";
import fc from "fast-check";
import type { CallerRequest } from "./caller_request.ts";
import { createTestRequest } from "./create_test_request.ts";
import { forwardHeaders } from "./forward_headers.ts";
import { testHeaderNames } from "./test_header_names.ts";

const names = testHeaderNames;

describe("headers that are forwarded to an upstream", () => {
  test("never contain a caller's values for headers that the system sets", () => {
    fc.assert(fc.property(headersWithReservedNames(), (rawHeaders) => {
      const sent = send(rawHeaders);
      for (const name of names.reserved) {
        expect(valuesOf(sent, name)).toEqual([]);
      }
      expect(valuesOf(sent, names.fetchFrom)).toEqual([]);
      expect(valuesOf(sent, names.key)).toEqual([]);
      expect(valuesOf(sent, names.workspace)).toEqual(["inn"]);
      expect(valuesOf(sent, names.expectedUpstream)).toEqual(["u1"]);
      expect(valuesOf(sent, names.priority)).toEqual(["2"]);
      expect(valuesOf(sent, names.timeLeft)).toEqual(["400"]);
      expect(valuesOf(sent, "x-plain")).toEqual(["kept"]);
    }));
  });

  test("keep the last event identifier of the caller", () => {
    expect(valuesOf(send([names.lastEvent, "7"]), names.lastEvent))
      .toEqual(["7"]);
  });
});

/** Generates reserved headers in any case and number, around a plain header. */
function headersWithReservedNames(): fc.Arbitrary<string[]> {
  const reservedNames = [
    ...names.reserved,
    names.fetchFrom,
    names.key,
    names.workspace,
    names.expectedUpstream,
    names.priority,
    names.timeLeft,
  ];
  const entry = fc.tuple(fc.constantFrom(...reservedNames), fc.nat()).map(
    ([name, bits]) => [mixCase(name, bits), "from the caller"],
  );
  return fc.tuple(fc.array(entry), fc.array(entry)).map(([before, after]) =>
    [...before, ["X-Plain", "kept"], ...after].flat()
  );
}

function mixCase(name: string, bits: number): string {
  return [...name].map((letter, at) =>
    (bits >> (at % 31)) & 1 ? letter.toUpperCase() : letter
  ).join("");
}

function send(rawHeaders: readonly string[]): string[] {
  return forwardHeaders.toUpstream(requestWith(rawHeaders), {
    names,
    attempt: {
      upstream: "u1",
      timeLeft: 400,
      lastEvent: undefined,
      fetchFrom: undefined,
    },
  });
}

function requestWith(rawHeaders: readonly string[]): CallerRequest {
  const request = createTestRequest({ rawHeaders, deadline: 400 });
  return {
    ...request,
    method: "POST",
    workspace: {
      name: "inn",
      keys: [],
      priority: 2,
      rate: 0,
      burst: 0,
      defaultCharge: 1,
      countsTokens: false,
    },
    route: {
      ...request.route,
      kind: RouteKind.nonIdempotent,
      priority: 2,
      maxAttempts: 1,
    },
  };
}

/** Returns the values of a header, ignoring the case of its name. */
function valuesOf(headers: readonly string[], name: string): string[] {
  return headers.filter((_value, at) =>
    at % 2 === 1 && headers[at - 1]!.toLowerCase() === name
  );
}
