import { requestDigest } from "./request_digest.ts";

const parts = {
  method: "POST",
  host: "inn.example",
  target: "/book?day=1",
  workspace: "inn",
  body: Buffer.from("a table"),
};

test("a repeated request has the same digest", () => {
  expect(requestDigest(parts)).toBe(requestDigest({ ...parts }));
  expect(requestDigest({ ...parts, host: "INN.example" }))
    .toBe(requestDigest(parts));
  expect(requestDigest(parts)).toHaveLength(32);
});

test.each([
  { method: "PUT" },
  { host: "other.example" },
  { target: "/book?day=2" },
  { workspace: "other" },
  { body: Buffer.from("a tablE") },
  { target: "/book?day=1inn", workspace: "" },
])("a request with another %o has another digest", (other) => {
  expect(requestDigest({ ...parts, ...other })).not.toBe(requestDigest(parts));
});
