import { setTimeout as sleep } from "node:timers/promises";
import type { JoinReply, ReplicaMember } from "@heroncleat/schema";
import type { PeerPool } from "@heroncleat/transport";
import type { Log } from "../common/log.ts";
import { decideFormation } from "./decide_formation.ts";
import { groupFile } from "./group_file.ts";

const JOIN_TIMEOUT_MS = 1000;
const RETRY_INTERVAL_MS = 200;
/** Rounds between log lines while some peers do not respond. */
const LOG_INTERVAL_ROUNDS = 25;

type FormationOptions = {
  readonly self: ReplicaMember;
  readonly folder: string;
  /** Peer addresses of the other replicas. */
  readonly peers: () => readonly string[];
  /** Whether this replica may bootstrap a group; if not, it only joins one. */
  readonly mayBootstrap?: boolean;
  readonly pool: PeerPool;
  readonly log: Log;
};

/**
 * Agrees with the other replicas on the initial members of the group, or learns
 * them from a replica that already has a group.
 *
 * @returns The initial members, after they are stored on disk.
 */
export async function formGroup(
  options: FormationOptions,
): Promise<readonly ReplicaMember[]> {
  const stored = await groupFile.read(options.folder);
  if (stored !== undefined) {
    return stored.founders;
  }
  for (let round = 0;; round += 1) {
    const replies = await requestJoinReplies(options);
    const decision = decideFormation(options.self, {
      expected: options.mayBootstrap === false
        ? Infinity
        : options.peers().length + 1,
      replies,
    });
    if (decision.kind !== "wait") {
      await groupFile.write(options.folder, decision.founders);
      options.log.info(`Will ${decision.kind} a group`, {
        founders: decision.founders.length,
      });
      return decision.founders;
    }
    if (round % LOG_INTERVAL_ROUNDS === 0) {
      options.log.info("Waiting for all replicas to respond", {
        answered: replies.length,
      });
    }
    await sleep(RETRY_INTERVAL_MS);
  }
}

async function requestJoinReplies(
  options: FormationOptions,
): Promise<JoinReply[]> {
  const parameters = { member: options.self };
  const calls = options.peers().map((address) =>
    options.pool.call(address, "control.join", {
      parameters,
      timeout: JOIN_TIMEOUT_MS,
    }) as Promise<JoinReply>
  );
  const settled = await Promise.allSettled(calls);
  const replies: JoinReply[] = [];
  for (const result of settled) {
    if (result.status === "fulfilled") {
      replies.push(result.value);
    }
  }
  return replies;
}
