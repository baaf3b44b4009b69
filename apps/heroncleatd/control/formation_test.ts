import type { JoinReply, ReplicaMember } from "@heroncleat/schema";
import { decideFormation } from "./decide_formation.ts";

function member(
  name: string,
  id = `${name}-disk`,
  voter = true,
): ReplicaMember {
  return { id, name, address: name, zone: name, voter };
}

function reply(
  self: ReplicaMember,
  initialMembers: ReplicaMember[],
): JoinReply {
  return {
    formed: initialMembers.length > 0,
    self,
    members: [],
    founders: initialMembers,
  };
}

const [a, b, c] = [member("a"), member("b"), member("c")];

describe("a replica with an empty data folder", () => {
  test("bootstraps a group only when every peer responds that it has none", () => {
    const partial = { expected: 3, replies: [reply(b, [])] };
    expect(decideFormation(a, partial).kind).toBe("wait");
    const complete = { expected: 3, replies: [reply(b, []), reply(c, [])] };
    const decision = decideFormation(a, complete);
    expect(decision).toEqual({ kind: "found", founders: [a, b, c] });
    const other = decideFormation(c, {
      expected: 3,
      replies: [reply(a, []), reply(b, [])],
    });
    expect(other).toEqual(decision);
  });

  test("joins once one peer reports a group, even if other peers do not respond", () => {
    const replacement = member("a", "new-disk");
    const options = { expected: 3, replies: [reply(b, [a, b, c])] };
    const decision = decideFormation(replacement, options);
    expect(decision).toEqual({ kind: "join", founders: [a, b, c] });
  });
});
