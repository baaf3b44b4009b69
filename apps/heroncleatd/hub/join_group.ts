import type { Clock, Milliseconds } from "@heroncleat/base";
import type {
  FoundingView,
  HoldRequest,
  RegisterRequest,
  ReplicaMember,
} from "@heroncleat/schema";
import type { Log } from "../common/log.ts";
import { decideBootstrap } from "./decide_bootstrap.ts";

const RETRY_PAUSE: Milliseconds = 200;
/** Rounds between two log lines while the replica waits. */
const ROUNDS_PER_LOG_LINE = 25;
/**
 * Time for which all seeds respond before a group is formed with fewer members
 * than the tolerated losses require. VMs of one deployment may start at
 * slightly different times.
 */
const FULL_GROUP_TIMEOUT: Milliseconds = 4000;

type JoinOptions = {
  readonly self: ReplicaMember;
  /** Current peer addresses of the seeds. */
  readonly seeds: () => readonly string[];
  readonly mayBootstrap: boolean;
  readonly targetMemberCount: number;
  readonly clock: Clock;
  readonly log: Log;
  /**
   * Registers with a seed, which may be this process; rejects if the seed
   * doesn't respond.
   */
  readonly register: (
    seed: string,
    request: RegisterRequest,
  ) => Promise<FoundingView>;
  readonly hold: (seed: string, request: HoldRequest) => Promise<FoundingView>;
};

/**
 * Joins the existing group, or bootstraps one together with the other replicas
 * through the seeds. Seeds may have no disk.
 *
 * @returns The initial members of the group.
 */
export async function joinGroup(
  options: JoinOptions,
): Promise<readonly ReplicaMember[]> {
  const { clock, log, mayBootstrap, targetMemberCount } = options;
  let allRespondedSince: Milliseconds | undefined;
  for (let round = 0;; round += 1) {
    const seeds = [...options.seeds()].sort();
    const views = await registerWithAllSeeds(seeds, options);
    const hasAllResponses = views.every((view) => view !== undefined);
    allRespondedSince = hasAllResponses
      ? allRespondedSince ?? clock.steady()
      : undefined;
    const isOverdue = allRespondedSince !== undefined &&
      clock.steady() - allRespondedSince >= FULL_GROUP_TIMEOUT;
    const decision = decideBootstrap(views, {
      mayBootstrap,
      targetMemberCount,
      isOverdue,
    });
    if (decision.kind === "join") {
      log.info("Joins the group", { founders: joinNames(decision.founders) });
      return decision.founders;
    }
    if (
      decision.kind === "propose" &&
      await isHeldByAllSeeds(decision.founders, {
        seeds,
        views,
        hold: options.hold,
      })
    ) {
      log.info("Formed a new group", {
        founders: joinNames(decision.founders),
      });
      return decision.founders;
    }
    if (round % ROUNDS_PER_LOG_LINE === 0) {
      log.info("Waiting for the seeds and for enough replicas", {
        seeds: seeds.length,
        answered: views.filter((view) => view !== undefined).length,
        wanted: targetMemberCount,
      });
    }
    await new Promise((resolve) => setTimeout(resolve, RETRY_PAUSE));
  }
}

async function registerWithAllSeeds(
  seeds: readonly string[],
  { self, register }: JoinOptions,
): Promise<(FoundingView | undefined)[]> {
  const request = { member: self, founders: [], members: [] };
  const results = await Promise.allSettled(
    seeds.map((seed) => register(seed, request)),
  );
  return results.map((result) =>
    result.status === "fulfilled" ? result.value : undefined
  );
}

/**
 * Asks the seeds in address order to hold the proposal; stops at the first one
 * that doesn't.
 */
async function isHeldByAllSeeds(
  initialMembers: readonly ReplicaMember[],
  { seeds, views, hold }: {
    seeds: readonly string[];
    views: readonly (FoundingView | undefined)[];
    hold: JoinOptions["hold"];
  },
): Promise<boolean> {
  for (const [index, seed] of seeds.entries()) {
    const isHeldAfter = views.slice(index + 1).some((view) =>
      view !== undefined && hasSameIds(view.founders, initialMembers)
    );
    try {
      const request = { founders: [...initialMembers], isHeldAfter };
      const view = await hold(seed, request);
      if (!hasSameIds(view.founders, initialMembers)) {
        return false;
      }
    } catch {
      // The next round retries.
      return false;
    }
  }
  return true;
}

function hasSameIds(
  left: readonly ReplicaMember[],
  right: readonly ReplicaMember[],
): boolean {
  return joinIds(left) === joinIds(right);
}

function joinIds(members: readonly ReplicaMember[]): string {
  return members.map(({ id }) => id).sort().join(" ");
}

function joinNames(members: readonly ReplicaMember[]): string {
  return members.map(({ name }) => name).join(", ");
}
