import type { CallerRequest } from "../caller_request.ts";
import { createTestContext } from "../create_test_context.ts";
import { mayOfferAgain } from "./may_offer_again.ts";

const call = { service: "desk" } as CallerRequest;
const closers: (() => void)[] = [];
const context = createTestContext([], (close) => closers.push(close));

afterAll(() => closers.forEach((close) => close()));

function mayOffer(
  offers: number,
  { refusedConnections, version }: {
    refusedConnections: number;
    version: string | undefined;
  },
): boolean {
  return mayOfferAgain(call, {
    context,
    excluded: new Set(),
    rejections: 0,
    version,
    offers,
    refusedConnections,
  });
}

// Guards against streams that end after three upstreams of their version had
// crashed, while another one serves.
test("upstreams that refuse connections don't use up those that a stream may try", () => {
  const bound = { refusedConnections: 3, version: "v1" };
  expect(mayOffer(3, bound)).toBe(true);
  expect(mayOffer(5, bound)).toBe(true);
  expect(mayOffer(6, bound)).toBe(false);
  expect(mayOffer(3, { ...bound, refusedConnections: 0 })).toBe(false);
});

test("a request that any version may run is sent to three upstreams at most", () => {
  const unbound = { refusedConnections: 3, version: undefined };
  expect(mayOffer(2, unbound)).toBe(true);
  expect(mayOffer(3, unbound)).toBe(false);
});
