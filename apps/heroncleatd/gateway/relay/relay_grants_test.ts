import { relayGrants } from "./relay_grants.ts";

const grant = {
  entry: "entry-1",
  service: "desk",
  workspace: "inn",
  documentVersion: 7,
  excluded: ["u1"],
  isUsageCounted: false,
};
const request = {
  attempt: "a1",
  method: "POST",
  target: "/book?x=1",
  body: Buffer.from("four at seven"),
};
const signed = relayGrants.sign(grant, { secret: "s", request });

test("a grant holds for its request", () => {
  expect(relayGrants.verify(signed, { secret: "s", request })).toEqual(grant);
});

test.each([
  ["another secret", "t", request],
  ["another attempt", "s", { ...request, attempt: "a2" }],
  ["another path", "s", { ...request, target: "/cancel" }],
  ["another body", "s", { ...request, body: Buffer.from("ten at seven") }],
])("a grant with %s is refused", (_name, secret, other) => {
  expect(relayGrants.verify(signed, { secret, request: other }))
    .toBeUndefined();
});

test("a grant that was changed, or that a caller made up, is refused", () => {
  const content = Buffer.from(JSON.stringify({ ...grant, workspace: "other" }))
    .toString("base64url");
  for (const forged of [`${content}.${signed.split(".")[1]}`, "x.y", "", "."]) {
    expect(relayGrants.verify(forged, { secret: "s", request }))
      .toBeUndefined();
  }
  expect(relayGrants.verify(undefined, { secret: "s", request }))
    .toBeUndefined();
});
