import type { Random } from "@heroncleat/base";
import type { LogEntry, LogSnapshot } from "@heroncleat/schema";
import { commitment } from "./commitment.ts";
import { election } from "./election.ts";
import type { ClockReading } from "./clock_reading.ts";
import { ReplicaRole } from "./replica_role.ts";
import type { ReplicaSettings } from "./replica_settings.ts";
import type { ReplicaState } from "./replica_state.ts";
import { ReplicatedLog } from "./replicated_log.ts";
import type { StoredReplica } from "./stored_replica.ts";

/** Restores a replica's state from its settings and its disk. @internal */
export function restoreState(
  settings: ReplicaSettings,
  options: { random: Random; stored: StoredReplica; at: ClockReading },
): ReplicaState {
  const { random, stored, at } = options;
  const snapshot: LogSnapshot = stored.snapshot ?? {
    lastIndex: 0,
    lastTerm: 0,
    members: [...settings.founders],
    data: "",
  };
  const log = new ReplicatedLog(snapshot.lastIndex, snapshot.lastTerm);
  const vote = replayRecords(log, stored);
  const state: ReplicaState = {
    settings,
    random,
    log,
    term: Math.max(vote.term, log.lastTerm),
    votedFor: vote.term >= log.lastTerm ? vote.votedFor : "",
    role: ReplicaRole.follower,
    leader: "",
    members: snapshot.members,
    membersIndex: snapshot.lastIndex,
    snapshot,
    commitIndex: snapshot.lastIndex,
    appliedIndex: snapshot.lastIndex,
    electionDueAt: 0,
    // This replica may have had contact with a leader just before it stopped,
    // so it refuses votes for one election timeout.
    lastLeaderContactAt: at.steady,
    isPreVoting: false,
    votes: new Set(),
    nonLeadingTerms: new Map(),
    leadership: undefined,
    pendingProposals: new Map(),
    lastPersistNumber: 0,
    unsyncedPersists: [],
    durableIndex: log.lastIndex,
    incomingSnapshot: undefined,
    incomingEntry: undefined,
    effects: [],
  };
  commitment.restoreMembers(state);
  election.scheduleFirstPreVote(state, at);
  return state;
}

function replayRecords(
  log: ReplicatedLog,
  stored: StoredReplica,
): { term: number; votedFor: string } {
  let vote = { term: 0, votedFor: "" };
  for (const record of stored.records) {
    if (record.kind === "vote") {
      vote = { term: record.term, votedFor: record.votedFor };
      continue;
    }
    for (const entry of record.entries) {
      replayEntry(log, entry);
    }
  }
  return vote;
}

function replayEntry(log: ReplicatedLog, entry: LogEntry): void {
  if (entry.index <= log.baseIndex) {
    return;
  }
  if (entry.index <= log.lastIndex) {
    log.truncate(entry.index);
  }
  if (entry.index !== log.lastIndex + 1) {
    throw new Error(
      `The journal lacks log entry ${log.lastIndex + 1}. Remedy: empty the ` +
        "data folder; the replica rejoins under a new identity.",
    );
  }
  log.append(entry);
}
