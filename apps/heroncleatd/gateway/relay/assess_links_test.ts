import { assessLinks } from "./assess_links.ts";

const calm = {
  isInDoubt: false,
  unopened: 0,
  refusedConnections: 0,
  isBound: false,
};
const refused = { ...calm, unopened: 2, refusedConnections: 2 };

test.each([
  ["no connection failed", calm, "none"],
  ["one was refused", { ...calm, unopened: 1, refusedConnections: 1 }, "none"],
  ["two were refused, and any version may run it", refused, "strong"],
  ["one fell silent", { ...calm, unopened: 2, isBound: true }, "strong"],
  ["the entry is in doubt", {
    ...refused,
    isInDoubt: true,
    isBound: true,
  }, "strong"],
])("links of the entry are suspected if %s: %s", (_name, request, expected) => {
  expect(assessLinks(request)).toBe(expected);
});

// Guards against streams of a version that has ended being passed on in vain.
test("refused connections of a stream that is bound to a version don't decide", () => {
  expect(assessLinks({ ...refused, isBound: true })).toBe("unclear");
  expect(assessLinks({
    ...refused,
    unopened: 5,
    refusedConnections: 5,
    isBound: true,
  })).toBe("unclear");
});
