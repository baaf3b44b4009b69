import { rmSync, writeFileSync } from "node:fs";
import { splitAddress } from "@heroncleat/base";
import { TcpRelay, waitFor } from "@heroncleat/local_deployment";
import type { Edit } from "@heroncleat/schema";
import { LiveDeployment } from "./live_deployment.ts";

const live = new LiveDeployment({
  firstPort: 24_000,
  controls: 3,
  entries: 3,
  engines: 1,
  services: 1,
  usesRelays: true,
  controlSettings: { snapshot_entries: 200 },
  entrySettings: { configuration_lease: 2000 },
});
const { controls, entries } = live.deployment;
const relays = [...controls, ...entries].map((peer) =>
  new TcpRelay(peer.advertisedAddress, peer.peerAddress)
);

beforeAll(async () => {
  for (const relay of relays) {
    await relay.listen();
  }
  await live.start();
});

afterAll(() => {
  live.stop();
  for (const relay of relays) {
    relay.close();
  }
});

function createGroupEdit(share: number): Edit {
  return {
    kind: "group_set",
    group: { name: "new", labels: { place: "new" }, state: "serving", share },
  };
}

/** Partitions one process from all others in both directions. */
function isolate(name: string): void {
  const peers = [...controls, ...entries];
  const index = peers.findIndex((peer) => peer.name === name);
  const ownHost = splitAddress(peers[index]!.peerAddress).host;
  for (const [relayIndex, relay] of relays.entries()) {
    if (relayIndex !== index) {
      relay.partition(ownHost);
      continue;
    }
    for (const peer of peers) {
      relay.partition(splitAddress(peer.peerAddress).host);
    }
  }
}

function heal(): void {
  for (const relay of relays) {
    relay.heal();
  }
}

function indexOfControl(name: string): number {
  return controls.findIndex((control) => control.name === name);
}

/** Reads the active revisions of the live entries. */
async function readRevisions(index: number): Promise<number[]> {
  const { value } = await live.callOperatorApi(index, "status");
  const found = value["entries"] as { revision: number; state: string }[];
  return found.filter(({ state }) => state === "alive").map(({ revision }) =>
    revision
  );
}

async function waitForRevision(
  index: number,
  revision: number,
): Promise<number> {
  const startedAt = Date.now();
  await waitFor(`Revision ${revision} at all entries`, {
    timeout: 10_000,
    check: async () => {
      const found = await readRevisions(index);
      const all = found.length === entries.length &&
        found.every((known) => known >= revision);
      return all || undefined;
    },
  });
  return Date.now() - startedAt;
}

let changes = 0;
function createChangeId(): string {
  changes += 1;
  return `change-${String(changes).padStart(6, "0")}`;
}

describe("the control group", () => {
  test("commits one of several concurrent changes and reports conflicts for the others", async () => {
    const { revision } = await live.readConfiguration();
    const replies = await Promise.all(
      [0, 1, 2].map((index) =>
        live.callOperatorApi(index, "changes", {
          id: createChangeId(),
          expectedRevision: revision,
          edits: [createGroupEdit(10 + index)],
        })
      ),
    );
    expect(replies.map(({ status }) => status).sort()).toEqual([200, 409, 409]);
  });

  test("returns the first result of a repeated change, also at another replica", async () => {
    const { revision } = await live.readConfiguration();
    const change = {
      id: createChangeId(),
      expectedRevision: revision,
      edits: [createGroupEdit(33)],
    };
    const first = await live.callOperatorApi(0, "changes", change);
    const again = await live.callOperatorApi(1, "changes", change);
    expect(again.value).toEqual(first.value);
    expect((await live.readConfiguration(2)).revision).toBe(revision + 1);
  });

  test("commits again after its leader crashes", async () => {
    const leader = await live.findLeader();
    live.processes.signal(leader, "SIGKILL");
    const startedAt = Date.now();
    const others = controls.filter(({ name }) => name !== leader);
    const index = indexOfControl(others[0]!.name);
    const { value } = await waitFor("The next commit", {
      timeout: 10_000,
      check: async () => {
        const view = await live.readConfiguration(index);
        const reply = await live.callOperatorApi(index, "changes", {
          id: createChangeId(),
          expectedRevision: view.revision,
          edits: [createGroupEdit(50)],
        });
        return reply.status === 200 ? reply : undefined;
      },
    });
    // Only a loose bound; `npm run bench` measures the duration.
    expect(Date.now() - startedAt).toBeLessThan(4000);
    live.restart(leader);
    await waitForRevision(index, value["revision"] as number);
  });

  test("activates changes at all entries while one replica is isolated", async () => {
    const leader = await live.findLeader();
    isolate(leader);
    const index = indexOfControl(
      controls.find(({ name }) => name !== leader)!.name,
    );
    const before = await waitFor("A view from the others", {
      timeout: 5000,
      check: async () => {
        const { status, value } = await live.callOperatorApi(
          index,
          "configuration",
        );
        return status === 200 ? value["revision"] as number : undefined;
      },
    });
    const reply = await live.callOperatorApi(index, "changes", {
      id: createChangeId(),
      expectedRevision: before,
      edits: [createGroupEdit(60)],
    });
    expect(reply.status).toBe(200);
    expect(await waitForRevision(index, before + 1)).toBeLessThan(4000);
    // The isolated leader doesn't serve its outdated state.
    const stale = await live.callOperatorApi(
      indexOfControl(leader),
      "configuration",
    );
    expect(stale.status).toBe(503);
    heal();
    await waitFor("The isolated replica to catch up", {
      timeout: 10_000,
      check: async () => {
        const { status, value } = await live.callOperatorApi(
          indexOfControl(leader),
          "configuration",
        );
        return status === 200 && value["revision"] === before + 1 || undefined;
      },
    });
  });

  test("makes an isolated entry refuse new requests as not run", async () => {
    isolate("entry-2");
    await waitFor("The lease to expire", {
      timeout: 6000,
      check: async () => {
        const reply = await live.call(1, "/services/booking/confirm", {
          method: "POST",
        });
        return reply.status === 503 || undefined;
      },
    });
    const { runs } = await live.callStandIn("booking-1");
    const before = runs.length;
    const refused = await live.bookTable(1, "cut-off");
    expect(refused.status).toBe(503);
    expect(refused.headers["heroncleat-run"]).toBe("not-run");
    expect((await live.callStandIn("booking-1")).runs).toHaveLength(before);
    heal();
    await waitFor("The lease to be renewed", {
      timeout: 10_000,
      check: async () =>
        (await live.bookTable(1, "cut-off")).status === 200 || undefined,
    });
  });

  test("catches up a replica that missed 500 changes", async () => {
    const leader = await live.findLeader();
    const lateReplica = controls.find(({ name }) => name !== leader)!;
    live.processes.signal(lateReplica.name, "SIGKILL");
    const index = indexOfControl(leader);
    let { revision } = await live.readConfiguration(index);
    for (let count = 0; count < 500; count += 1) {
      const reply = await live.callOperatorApi(index, "changes", {
        id: createChangeId(),
        expectedRevision: revision,
        edits: [createGroupEdit(count % 100)],
      });
      expect(reply.status).toBe(200);
      revision += 1;
    }
    live.restart(lateReplica.name);
    const startedAt = Date.now();
    await waitFor("The late replica to serve", {
      timeout: 10_000,
      check: async () => {
        const { status, value } = await live.callOperatorApi(
          indexOfControl(lateReplica.name),
          "configuration",
        );
        return status === 200 && value["revision"] === revision || undefined;
      },
    });
    expect(Date.now() - startedAt).toBeLessThan(5000);
  });

  test("readmits a replica that lost its disk, and then tolerates another crash", async () => {
    const leader = await live.findLeader();
    const [lost, other] = controls.filter(({ name }) => name !== leader);
    live.processes.signal(lost!.name, "SIGKILL");
    await live.processes.waitForExit(lost!.name);
    rmSync(lost!.dataFolder, { recursive: true });
    live.restart(lost!.name);
    await waitFor("The lost replica to vote again", {
      timeout: 20_000,
      check: async () => {
        const { value } = await live.callOperatorApi(
          indexOfControl(leader),
          "status",
        );
        const replicas = value["replicas"] as {
          name: string;
          id: string;
          members?: { id: string; voter: boolean }[];
        }[];
        const members = replicas.find(({ name }) => name === leader)?.members ??
          [];
        const newId = replicas.find(({ name }) => name === lost!.name)?.id;
        const isRepaired = members.length === 3 &&
          members.every(({ voter }) => voter) &&
          members.some(({ id }) => id === newId);
        return isRepaired || undefined;
      },
    });
    live.processes.signal(other!.name, "SIGKILL");
    await live.applyEdits([createGroupEdit(77)], createChangeId());
    live.restart(other!.name);
  });

  test("refuses to start with a journal that is damaged in the middle", async () => {
    const leader = await live.findLeader();
    const victim = controls.find(({ name }) => name !== leader)!;
    live.processes.signal(victim.name, "SIGKILL");
    await live.processes.waitForExit(victim.name);
    const { readdirSync, readFileSync } = await import("node:fs");
    const name = readdirSync(victim.dataFolder).find((file) =>
      file.startsWith("journal-")
    )!;
    const path = `${victim.dataFolder}/${name}`;
    const bytes = readFileSync(path);
    bytes[20]! ^= 0xff;
    writeFileSync(path, bytes);
    live.restart(victim.name);
    expect(await live.processes.waitForExit(victim.name)).toBe(3);
    const log = readFileSync(
      `${live.deployment.folder}/${victim.name}.log`,
      "utf8",
    );
    expect(log).toContain("is damaged at byte");
    expect(log).toContain("Remedy: move the data folder away");
    rmSync(victim.dataFolder, { recursive: true });
    live.restart(victim.name);
    await waitFor("The replica with an empty folder to catch up", {
      timeout: 20_000,
      check: async () =>
        (await live.callOperatorApi(
            indexOfControl(victim.name),
            "configuration",
          ))
            .status ===
          200 || undefined,
    });
  });
});
