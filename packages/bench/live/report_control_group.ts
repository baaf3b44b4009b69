import { createToken } from "@heroncleat/base";
import type { BenchDeployment } from "./bench_deployment.ts";
import { formatTable } from "../report/format_table.ts";
import { readProcessUsage } from "./read_process_usage.ts";

const WRITER_COUNTS = [1, 16, 64];
const WRITE_TIME_MS = 2500;
const CHANGE_COUNT = 60;
const LEADER_LOSS_COUNT = 4;
const MISSED_CHANGE_COUNT = 500;
const CALL_TIMEOUT_MS = 1500;
const IDLE_TIME_MS = 5000;

/**
 * Measures the control group: idle usage, commits, configuration changes and
 * leader losses.
 */
export async function reportControlGroup(
  bench: BenchDeployment,
  print: (text: string) => void,
): Promise<void> {
  const control = new ControlBench(bench);
  await control.reportIdleUsage(print);
  await control.reportCommits(print);
  await control.reportChangeDelays(print);
  await control.reportLeaderLosses(print);
}

/** Response of a control replica to a proposal. */
type ProposalReply = { readonly kind: string; readonly leader?: string };

class ControlBench {
  readonly #bench: BenchDeployment;
  #leader: string;
  #claimCount = 0;

  constructor(bench: BenchDeployment) {
    this.#bench = bench;
    this.#leader = bench.deployment.controls[0]!.peerAddress;
  }

  /** Reports processor time and memory of each process without requests. */
  async reportIdleUsage(print: (text: string) => void): Promise<void> {
    const { deployment, processes } = this.#bench;
    const names = [
      ...deployment.controls.map(({ name }) => name),
      ...deployment.entries.map(({ name }) => name),
    ];
    const read = () =>
      names.map((name) => readProcessUsage(processes.pidOf(name)));
    const before = read();
    await sleep(IDLE_TIME_MS);
    const after = read();
    const rows = names.map((name, index) => [
      name,
      (after[index]!.cpuMs - before[index]!.cpuMs) / IDLE_TIME_MS * 100,
      after[index]!.megabytes,
    ]);
    print("### Without requests: 12 entries, 3 replicas, 5 upstreams\n");
    print(formatTable(["process", "% of a core", "MB"], rows));
  }

  async reportCommits(print: (text: string) => void): Promise<void> {
    await this.#commit();
    const rows: (string | number)[][] = [];
    for (const writers of WRITER_COUNTS) {
      const until = performance.now() + WRITE_TIME_MS;
      let commits = 0;
      const times: number[] = [];
      const write = async () => {
        while (performance.now() < until) {
          const startedAt = performance.now();
          await this.#commit();
          times.push(performance.now() - startedAt);
          commits += 1;
        }
      };
      await Promise.all(Array.from({ length: writers }, write));
      times.sort((left, right) => left - right);
      const rate = commits / WRITE_TIME_MS * 1000;
      rows.push([writers, rate, percentile(times, 50), percentile(times, 99)]);
    }
    print("\n### Commits with sync, through one connection\n");
    print(formatTable(["writers", "commits/s", "p50 ms", "p99 ms"], rows));
  }

  async reportChangeDelays(print: (text: string) => void): Promise<void> {
    const times: number[] = [];
    for (let count = 0; count < CHANGE_COUNT; count += 1) {
      const { startedAt, revision } = await this.#change(count);
      await this.#waitUntilActive(revision);
      times.push(performance.now() - startedAt);
    }
    times.sort((left, right) => left - right);
    print("\n### Change sent to in force at all 12 entries, ms\n");
    print(formatTable(
      ["changes", "p50", "p95", "p99", "most"],
      [[
        CHANGE_COUNT,
        percentile(times, 50),
        percentile(times, 95),
        percentile(times, 99),
        times.at(-1)!,
      ]],
    ));
  }

  async reportLeaderLosses(print: (text: string) => void): Promise<void> {
    const { deployment, processes } = this.#bench;
    const times: number[] = [];
    let lastKilled = "";
    for (let count = 0; count < LEADER_LOSS_COUNT; count += 1) {
      await this.#commit();
      const leader = deployment.controls.find((replica) =>
        replica.peerAddress === this.#leader
      )!;
      processes.signal(leader.name, "SIGKILL");
      const startedAt = performance.now();
      await this.#commit();
      times.push(performance.now() - startedAt);
      lastKilled = leader.name;
      if (count < LEADER_LOSS_COUNT - 1) {
        this.#restart(leader.name);
        await sleep(2500);
      }
    }
    print("\n### Leader killed to next commit, ms\n");
    print(formatTable(["losses", "least", "most"], [[
      LEADER_LOSS_COUNT,
      Math.min(...times),
      Math.max(...times),
    ]]));
    await this.#reportCatchUp(lastKilled, print);
  }

  async #reportCatchUp(
    name: string,
    print: (text: string) => void,
  ): Promise<void> {
    let revision = 0;
    for (let count = 0; count < MISSED_CHANGE_COUNT; count += 1) {
      revision = (await this.#change(count)).revision;
    }
    const { deployment, pool } = this.#bench;
    const replica = deployment.controls.find((control) =>
      control.name === name
    )!;
    this.#restart(name);
    const startedAt = performance.now();
    while (true) {
      const status = await pool.call(replica.peerAddress, "control.renew", {
        parameters: { entry: "bench", revision: 0 },
        timeout: CALL_TIMEOUT_MS,
      }).catch(() => undefined) as { revision?: number } | undefined;
      if (status?.revision === revision) {
        break;
      }
      await sleep(20);
    }
    const elapsed = performance.now() - startedAt;
    print(
      `\nA replica that missed ${MISSED_CHANGE_COUNT} changes serves them ` +
        `${elapsed.toFixed(0)} ms after its start.\n`,
    );
  }

  #restart(name: string): void {
    const { deployment, processes } = this.#bench;
    const replica = deployment.controls.find((control) =>
      control.name === name
    )!;
    processes.restart(name, ["--settings", replica.settingsFile]);
  }

  /** Commits one claim through the current leader. */
  async #commit(): Promise<void> {
    this.#claimCount += 1;
    await this.#propose({
      kind: "claim",
      workspace: "bench",
      key: `key-${this.#claimCount}`,
      digest: "digest",
      owner: "bench",
      attempt: createToken(),
      at: 0,
      deadline: 0,
    });
  }

  async #propose(command: unknown): Promise<unknown> {
    const { pool, deployment } = this.#bench;
    const addresses = deployment.controls.map((replica) => replica.peerAddress);
    for (let attempt = 0;; attempt += 1) {
      const reply = await pool.call(this.#leader, "control.propose", {
        parameters: { command, timeout: CALL_TIMEOUT_MS },
        timeout: CALL_TIMEOUT_MS,
      }).catch(() => undefined) as
        | ProposalReply & { result?: unknown }
        | undefined;
      if (reply?.kind === "done") {
        return reply.result;
      }
      const leader = reply?.leader ?? "";
      this.#leader = leader === ""
        ? addresses[attempt % addresses.length]!
        : leader;
      if (leader === "") {
        await sleep(5);
      }
    }
  }

  async #change(
    share: number,
  ): Promise<{ startedAt: number; revision: number }> {
    const expectedRevision = await this.#readRevision();
    const startedAt = performance.now();
    const result = await this.#propose({
      kind: "change",
      change: {
        id: createToken(),
        operator: "bench",
        expectedRevision,
        at: 0,
        edits: [{
          kind: "group_set",
          group: {
            name: "spare",
            labels: {},
            state: "serving",
            share: share % 100,
          },
        }],
      },
    }) as { revision: number };
    return { startedAt, revision: result.revision };
  }

  async #readRevision(): Promise<number> {
    const { pool } = this.#bench;
    while (true) {
      const reply = await pool.call(this.#leader, "control.renew", {
        parameters: { entry: "bench", revision: 0 },
        timeout: CALL_TIMEOUT_MS,
      }).catch(() => undefined) as { revision?: number } | undefined;
      if (reply?.revision !== undefined) {
        return reply.revision;
      }
      await this.#commit();
    }
  }

  /** Waits until every entry reports that it has applied the revision. */
  async #waitUntilActive(revision: number): Promise<void> {
    const { pool, deployment } = this.#bench;
    await Promise.all(deployment.entries.map(async (entry) => {
      while (true) {
        const status = await pool.call(entry.peerAddress, "entry.status", {
          parameters: {},
          timeout: CALL_TIMEOUT_MS,
        }) as { members: { name: string; revision: number }[] };
        const own = status.members.find(({ name }) => name === entry.name);
        if ((own?.revision ?? 0) >= revision) {
          return;
        }
        await sleep(5);
      }
    }));
  }
}

function percentile(sorted: readonly number[], percent: number): number {
  const index = Math.floor(sorted.length * percent / 100);
  return sorted[Math.min(index, sorted.length - 1)] ?? 0;
}

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
