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

/** Applies planned changes until none is due and formats the members. */
function applyPlannedChanges(
  members: readonly ReplicaMember[],
  options: { gone?: string[]; lagging?: string[]; wanted?: number } = {},
): string {
  const { gone = [], lagging = [], wanted = 3 } = options;
  let current = [...members];
  for (let step = 0; step < 20; step += 1) {
    const next = planMembershipChange(current, {
      self: "a-disk",
      wantedVoters: wanted,
      hasCaughtUp: (id) => !lagging.includes(id) && !gone.includes(id),
      isLost: (id) => gone.includes(id),
    });
    if (next === undefined) {
      return current.map(({ name, voter }) => voter ? name : `(${name})`)
        .join(" ");
    }
    current = next;
  }
  throw new Error("The planned membership changes don't converge.");
}

describe("membership repair", () => {
  const replacement = member("c", { id: "new-disk", voter: false });
  const status = {
    self: "a-disk",
    wantedVoters: 3,
    hasCaughtUp: () => true,
    isLost: () => false,
  };

  test("waits for the learner, removes the replaced voter, then promotes", () => {
    const members = [a, b, c, replacement];
    expect(
      planMembershipChange(members, { ...status, hasCaughtUp: () => false }),
    )
      .toBeUndefined();
    const displaced = planMembershipChange(members, status);
    expect(displaced).toEqual([a, b, replacement]);
    const promoted = planMembershipChange(displaced!, status);
    expect(promoted).toEqual([a, b, { ...replacement, voter: true }]);
    expect(planMembershipChange(promoted!, status)).toBeUndefined();
  });

  test("keeps a learner that isn't needed as a standby", () => {
    expect(applyPlannedChanges([a, b, c, d])).toBe("a b c (d)");
  });

  test("promotes the standby once a voter is lost", () => {
    expect(applyPlannedChanges([a, b, c, d], { gone: ["b-disk"] })).toBe(
      "a c d",
    );
  });

  // Guards against a group that stays short of a voter until it loses another.
  test("promotes the standby before a lost learner is removed", () => {
    const lost = member("e", { voter: false });
    const next = planMembershipChange([a, b, d, lost], {
      ...status,
      isLost: (id) => id === lost.id,
    });
    expect(next).toEqual([a, b, { ...d, voter: true }, lost]);
    expect(applyPlannedChanges([a, b, d, lost], { gone: [lost.id] }))
      .toBe("a b d");
  });

  test("promotes no learner that has joined again with a new disk", () => {
    const again = member("d", { id: "new-disk", voter: false });
    expect(applyPlannedChanges([a, b, d, again], { lagging: ["new-disk"] }))
      .toBe("a b (d)");
  });

  test("promotes the standby instead of a replacement that hasn't caught up", () => {
    expect(
      applyPlannedChanges([a, b, c, d, replacement], { lagging: ["new-disk"] }),
    )
      .toBe("a b d (c)");
  });

  test("keeps a lost voter that can't be replaced", () => {
    expect(applyPlannedChanges([a, b, c], { gone: ["c-disk"] })).toBe("a b c");
    expect(
      applyPlannedChanges([a, b, c, d], {
        gone: ["c-disk"],
        lagging: ["d-disk"],
      }),
    )
      .toBe("a b c (d)");
  });

  test("removes lost learners", () => {
    expect(applyPlannedChanges([a, b, c, d], { gone: ["d-disk"] })).toBe(
      "a b c",
    );
  });

  test("demotes surplus voters, removing lost ones first", () => {
    const voting = { ...d, voter: true };
    expect(applyPlannedChanges([a, b, c, voting])).toBe("a b c (d)");
    expect(applyPlannedChanges([a, b, c, voting], { gone: ["c-disk"] })).toBe(
      "a b d",
    );
    const many = [a, b, c, voting, member("e"), member("f")];
    expect(applyPlannedChanges(many, { gone: ["b-disk", "c-disk"] })).toBe(
      "a d e (f)",
    );
    expect(applyPlannedChanges(many, { wanted: 5 })).toBe(
      "a b c d e (f)",
    );
  });

  test("prefers standbys in zones without voters", () => {
    const near = member("e", { voter: false, zone: "a" });
    expect(applyPlannedChanges([a, b, c, near, d], { gone: ["c-disk"] })).toBe(
      "a b (e) d",
    );
  });
});
