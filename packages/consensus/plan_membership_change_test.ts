import type { ReplicaMember } from "@heroncleat/schema";
import { planMembershipChange } from "./mod.ts";

function member(
  name: string,
  options: { id?: string; voter?: boolean; zone?: string } = {},
): ReplicaMember {
  const { id = `${name}-disk`, voter = true, zone = name } = options;
  return { id, name, address: name, zone, voter };
}

const [a, b, c] = [member("a"), member("b"), member("c")];
const d = member("d", { voter: false });

/** Takes steps until none is due, as a leader does. */
function settle(
  members: readonly ReplicaMember[],
  options: { gone?: string[]; learning?: string[]; wanted?: number } = {},
): string {
  const { gone = [], learning = [], wanted = 3 } = options;
  let current = [...members];
  for (let step = 0; step < 20; step += 1) {
    const next = planMembershipChange(current, {
      self: "a-disk",
      wantedVoters: wanted,
      hasCaughtUp: (id) => !learning.includes(id) && !gone.includes(id),
      isLost: (id) => gone.includes(id),
    });
    if (next === undefined) {
      return current.map(({ name, voter }) => voter ? name : `(${name})`)
        .join(" ");
    }
    current = next;
  }
  throw new Error("The steps don't end.");
}

describe("the repair of a group", () => {
  const fresh = member("c", { id: "new-disk", voter: false });
  const knowledge = {
    self: "a-disk",
    wantedVoters: 3,
    hasCaughtUp: () => true,
    isLost: () => false,
  };

  test("waits for the learner, displaces the lost voter, then promotes", () => {
    const members = [a, b, c, fresh];
    expect(
      planMembershipChange(members, { ...knowledge, hasCaughtUp: () => false }),
    )
      .toBeUndefined();
    const displaced = planMembershipChange(members, knowledge);
    expect(displaced).toEqual([a, b, fresh]);
    const promoted = planMembershipChange(displaced!, knowledge);
    expect(promoted).toEqual([a, b, { ...fresh, voter: true }]);
    expect(planMembershipChange(promoted!, knowledge)).toBeUndefined();
  });

  test("keeps a learner that isn't needed as a standby", () => {
    expect(settle([a, b, c, d])).toBe("a b c (d)");
  });

  test("lets the standby vote as soon as a voter is gone", () => {
    expect(settle([a, b, c, d], { gone: ["b-disk"] })).toBe("a c d");
  });

  test("lets the standby take the place of a disk that is still empty", () => {
    expect(settle([a, b, c, d, fresh], { learning: ["new-disk"] }))
      .toBe("a b d (c)");
  });

  test("keeps a voter that nobody can replace", () => {
    expect(settle([a, b, c], { gone: ["c-disk"] })).toBe("a b c");
    expect(settle([a, b, c, d], { gone: ["c-disk"], learning: ["d-disk"] }))
      .toBe("a b c (d)");
  });

  test("drops learners that are gone", () => {
    expect(settle([a, b, c, d], { gone: ["d-disk"] })).toBe("a b c");
  });

  test("takes the vote from those beyond the wanted number, gone ones first", () => {
    const voting = { ...d, voter: true };
    expect(settle([a, b, c, voting])).toBe("a b c (d)");
    expect(settle([a, b, c, voting], { gone: ["c-disk"] })).toBe("a b d");
    const many = [a, b, c, voting, member("e"), member("f")];
    expect(settle(many, { gone: ["b-disk", "c-disk"] })).toBe("a d e (f)");
    expect(settle(many, { wanted: 5 })).toBe("a b c d e (f)");
  });

  test("prefers standbys of zones in which nobody votes", () => {
    const near = member("e", { voter: false, zone: "a" });
    expect(settle([a, b, c, near, d], { gone: ["c-disk"] })).toBe("a b (e) d");
  });
});
