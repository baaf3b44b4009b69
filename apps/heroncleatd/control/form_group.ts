import { setTimeout as sleep } from "node:timers/promises";
import type { JoinReply, ReplicaMember } from "@heroncleat/schema";
import type { PeerPool } from "@heroncleat/transport";
import type { Log } from "../common/log.ts";
import { decideFormation } from "./decide_formation.ts";
import { groupFile } from "./group_file.ts";

const ASK_TIMEOUT = 1000;
const ASK_PAUSE = 200;
/** Rounds between lines in the log while peers are missing. */
const LOG_ROUNDS = 25;

/** What forming a group needs. */
type FormationOptions = {
  readonly self: ReplicaMember;
  readonly folder: string;
  /** Peer addresses of the other replicas. */
  readonly peers: () => readonly string[];
  /** Whether this replica may found a group; it only joins otherwise. */
  readonly mayFound?: boolean;
  readonly pool: PeerPool;
  readonly log: Log;
};

/**
 * Finds out, together with the other replicas, which members the group was or
 * is formed with. Returns them once they are on disk.
 */
export async function formGroup(
  options: FormationOptions,
): Promise<readonly ReplicaMember[]> {
  const stored = await groupFile.read(options.folder);
  if (stored !== undefined) {
    return stored.founders;
  }
  for (let round = 0;; round += 1) {
    const replies = await askPeers(options);
    const decision = decideFormation(options.self, {
      expected: options.mayFound === false
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
    if (round % LOG_ROUNDS === 0) {
      options.log.info("Waits for all replicas to answer", {
        answered: replies.length,
      });
    }
    await sleep(ASK_PAUSE);
  }
}

async function askPeers(options: FormationOptions): Promise<JoinReply[]> {
  const parameters = { member: options.self };
  const asked = options.peers().map((address) =>
    options.pool.call(address, "control.join", {
      parameters,
      timeout: ASK_TIMEOUT,
    }) as Promise<JoinReply>
  );
  const settled = await Promise.allSettled(asked);
  const replies: JoinReply[] = [];
  for (const result of settled) {
    if (result.status === "fulfilled") {
      replies.push(result.value);
    }
  }
  return replies;
}
