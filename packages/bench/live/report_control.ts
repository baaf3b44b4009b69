import { createToken } from "@heroncleat/base";
import type { BenchDeployment } from "./bench_deployment.ts";
import { formatTable } from "../report/format_table.ts";
import { readProcessUsage } from "./process_usage.ts";

const WRITERS = [1, 16, 64];
const WRITE_TIME = 2500;
const CHANGES = 60;
const LEADER_LOSSES = 4;
const MISSED_CHANGES = 500;
const CALL_TIMEOUT = 1500;
const IDLE_TIME = 5000;

/** Measures the control group: commits, changes, losses. */
export async function reportControl(
  bench: BenchDeployment,
  print: (text: string) => void,
): Promise<void> {
  const control = new ControlBench(bench);
  await control.reportIdle(print);
  await control.reportCommits(print);
  await control.reportChanges(print);
  await control.reportLosses(print);
}

/** Answer of a replica to a proposal. */
type Proposal = { readonly kind: string; readonly leader?: string };

/** The calls that the measurements are made of. */
class ControlBench {
  readonly #bench: BenchDeployment;
  #leader: string;
  #claims = 0;

  constructor(bench: BenchDeployment) {
    this.#bench = bench;
    this.#leader = bench.deployment.controls[0]!.peerAddress;
  }

  /** Processor time of each role while nothing is asked of it. */
  async reportIdle(print: (text: string) => void): Promise<void> {
    const { deployment, processes } = this.#bench;
    const names = [
      ...deployment.controls.map(({ name }) => name),
      ...deployment.entries.map(({ name }) => name),
    ];
    const read = () =>
      names.map((name) => readProcessUsage(processes.pidOf(name)));
    const before = read();
    await sleep(IDLE_TIME);
    const after = read();
    const rows = names.map((name, place) => [
      name,
      (after[place]!.cpuMs - before[place]!.cpuMs) / IDLE_TIME * 100,
      after[place]!.megabytes,
    ]);
    print("### Without requests: 12 entries, 3 replicas, 5 upstreams\n");
    print(formatTable(["process", "% of a core", "MB"], rows));
  }

  async reportCommits(print: (text: string) => void): Promise<void> {
    await this.#commit();
    const rows: (string | number)[][] = [];
    for (const writers of WRITERS) {
      const until = performance.now() + WRITE_TIME;
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
      const rate = commits / WRITE_TIME * 1000;
      rows.push([writers, rate, quantile(times, 50), quantile(times, 99)]);
    }
    print("\n### Commits with sync, through one connection\n");
    print(formatTable(["writers", "commits/s", "p50 ms", "p99 ms"], rows));
  }

  async reportChanges(print: (text: string) => void): Promise<void> {
    const times: number[] = [];
    for (let count = 0; count < CHANGES; count += 1) {
      const { startedAt, revision } = await this.#change(count);
      await this.#inForce(revision);
      times.push(performance.now() - startedAt);
    }
    times.sort((left, right) => left - right);
    print("\n### Change sent to in force at all 12 entries, ms\n");
    print(formatTable(
      ["changes", "p50", "p95", "p99", "most"],
      [[
        CHANGES,
        quantile(times, 50),
        quantile(times, 95),
        quantile(times, 99),
        times.at(-1)!,
      ]],
    ));
  }

  async reportLosses(print: (text: string) => void): Promise<void> {
    const { deployment, processes } = this.#bench;
    const times: number[] = [];
    let late = "";
    for (let count = 0; count < LEADER_LOSSES; count += 1) {
      await this.#commit();
      const leader = deployment.controls.find((replica) =>
        replica.peerAddress === this.#leader
      )!;
      processes.signal(leader.name, "SIGKILL");
      const startedAt = performance.now();
      await this.#commit();
      times.push(performance.now() - startedAt);
      late = leader.name;
      if (count < LEADER_LOSSES - 1) {
        this.#restart(leader.name);
        await sleep(2500);
      }
    }
    print("\n### Leader killed to next commit, ms\n");
    print(formatTable(["losses", "least", "most"], [[
      LEADER_LOSSES,
      Math.min(...times),
      Math.max(...times),
    ]]));
    await this.#reportReturn(late, print);
  }

  async #reportReturn(
    name: string,
    print: (text: string) => void,
  ): Promise<void> {
    let revision = 0;
    for (let count = 0; count < MISSED_CHANGES; count += 1) {
      revision = (await this.#change(count)).revision;
    }
    const { deployment, pool } = this.#bench;
    const replica = deployment.controls.find((known) => known.name === name)!;
    this.#restart(name);
    const startedAt = performance.now();
    while (true) {
      const status = await pool.call(replica.peerAddress, "control.renew", {
        parameters: { entry: "bench", revision: 0 },
        timeout: CALL_TIMEOUT,
      }).catch(() => undefined) as { revision?: number } | undefined;
      if (status?.revision === revision) {
        break;
      }
      await sleep(20);
    }
    const taken = performance.now() - startedAt;
    print(
      `\nA replica that missed ${MISSED_CHANGES} changes serves them ` +
        `${taken.toFixed(0)} ms after its start.\n`,
    );
  }

  #restart(name: string): void {
    const { deployment, processes } = this.#bench;
    const replica = deployment.controls.find((known) => known.name === name)!;
    processes.restart(name, ["--settings", replica.settingsFile]);
  }

  /** Commits one claim, at whichever replica leads. */
  async #commit(): Promise<void> {
    this.#claims += 1;
    await this.#propose({
      kind: "claim",
      workspace: "bench",
      key: `key-${this.#claims}`,
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
    for (let turn = 0;; turn += 1) {
      const reply = await pool.call(this.#leader, "control.propose", {
        parameters: { command, timeout: CALL_TIMEOUT },
        timeout: CALL_TIMEOUT,
      }).catch(() => undefined) as
        | Proposal & { result?: unknown }
        | undefined;
      if (reply?.kind === "done") {
        return reply.result;
      }
      const known = reply?.leader ?? "";
      this.#leader = known === "" ? addresses[turn % addresses.length]! : known;
      if (known === "") {
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
        timeout: CALL_TIMEOUT,
      }).catch(() => undefined) as { revision?: number } | undefined;
      if (reply?.revision !== undefined) {
        return reply.revision;
      }
      await this.#commit();
    }
  }

  /** Waits until every entry says that the revision is in force there. */
  async #inForce(revision: number): Promise<void> {
    const { pool, deployment } = this.#bench;
    await Promise.all(deployment.entries.map(async (entry) => {
      while (true) {
        const status = await pool.call(entry.peerAddress, "entry.status", {
          parameters: {},
          timeout: CALL_TIMEOUT,
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

function quantile(sorted: readonly number[], percent: number): number {
  const place = Math.floor(sorted.length * percent / 100);
  return sorted[Math.min(place, sorted.length - 1)] ?? 0;
}

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
