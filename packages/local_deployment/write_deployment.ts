import { mkdirSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { createToken } from "@heroncleat/base";
import type { StandInSettings } from "@heroncleat/stand_ins";
import type { Deployment } from "./deployment.ts";
import type { DeploymentPlan } from "./deployment_plan.ts";
import { planAddresses } from "./plan_addresses.ts";

const PRIVATE_FILE_MODE = 0o600;
const SEED_COUNT = 3;
const ANNOUNCE_ENTRY_COUNT = 4;

/** Sections of an INI file. */
type Sections = Readonly<
  Record<string, Readonly<Record<string, string | number>>>
>;

/** Writes the settings, keys and secrets of a deployment to files. @public */
export function writeDeployment(plan: DeploymentPlan): Deployment {
  mkdirSync(plan.folder, { recursive: true });
  const addresses = planAddresses(plan);
  const sharedSecret = createToken();
  const operatorToken = createToken();
  const workspaces = plan.workspaces ?? ["bistro"];
  const callerKeys = Object.fromEntries(
    workspaces.map((workspace) => [workspace, createToken()]),
  );
  const write = (name: string, text: string) => {
    writeFileSync(join(plan.folder, name), text, { mode: PRIVATE_FILE_MODE });
    return join(plan.folder, name);
  };
  const security = {
    shared_secret_file: write("shared_secret", `${sharedSecret}\n`),
    caller_keys_file: write("callers.ini", formatPairs(callerKeys)),
    operator_tokens_file: write(
      "operators.ini",
      formatPairs({ demo: operatorToken }),
    ),
  };
  const replicas = addresses.controls.map((peer) => peer.advertisedAddress)
    .join(", ");
  const entryPeers = addresses.entries.map((peer) => peer.advertisedAddress);
  const describe = (role: string, peer: typeof addresses.controls[number]) => ({
    name: peer.name,
    roles: role,
    zone: peer.zone,
    peer_address: peer.peerAddress,
    advertised_peer_address: peer.advertisedAddress,
  });
  const controls = addresses.controls.map((peer) => {
    const dataFolder = join(plan.folder, "data", peer.name);
    const settingsFile = write(
      `${peer.name}.ini`,
      formatSections({
        daemon: describe("control", peer),
        control: {
          operator_address: peer.serviceAddress,
          data_folder: dataFolder,
          replicas,
          entries: entryPeers.join(", "),
          ...plan.controlSettings,
        },
        security,
      }),
    );
    return {
      name: peer.name,
      settingsFile,
      dataFolder,
      operatorAddress: peer.serviceAddress,
      peerAddress: peer.peerAddress,
      advertisedAddress: peer.advertisedAddress,
    };
  });
  const entries = addresses.entries.map((peer) => {
    const settingsFile = write(
      `${peer.name}.ini`,
      formatSections({
        daemon: describe("entry", peer),
        entry: {
          caller_address: peer.serviceAddress,
          seeds: entryPeers.slice(0, SEED_COUNT).join(", "),
          control: replicas,
          ...plan.entrySettings,
        },
        policy: { ...plan.policySettings },
        security,
      }),
    );
    return {
      name: peer.name,
      zone: peer.zone,
      settingsFile,
      callerAddress: peer.serviceAddress,
      peerAddress: peer.peerAddress,
      advertisedAddress: peer.advertisedAddress,
    };
  });
  const upstreams = addresses.upstreams.map((upstream, index) => {
    const base = describeUpstream(plan, {
      upstream,
      index,
      sharedSecret,
      entries: entries.slice(0, ANNOUNCE_ENTRY_COUNT).map((entry) =>
        entry.callerAddress
      ),
    });
    const settings = plan.upstream?.(base, index) ?? base;
    const settingsFile = write(
      `${upstream.name}.json`,
      JSON.stringify(settings, null, 2),
    );
    const { name, zone, address } = settings;
    return { name, zone, address, settingsFile };
  });
  return {
    folder: plan.folder,
    controls,
    entries,
    upstreams,
    callerKeys,
    operatorToken,
    tokenFile: write("operator_token", `${operatorToken}\n`),
    sharedSecret,
  };
}

function describeUpstream(
  plan: DeploymentPlan,
  options: {
    upstream: {
      name: string;
      zone: string;
      address: string;
      isEngine: boolean;
    };
    index: number;
    sharedSecret: string;
    entries: readonly string[];
  },
): StandInSettings {
  const { upstream, index, sharedSecret, entries } = options;
  const onDemand = index === 0;
  return {
    name: upstream.name,
    address: upstream.address,
    kind: upstream.isEngine ? "model_engine" : "plain_service",
    service: upstream.isEngine ? "" : "booking",
    models: upstream.isEngine ? ["assistant"] : [],
    zone: upstream.zone,
    vmClass: onDemand ? "on_demand" : "reclaimable",
    price: onDemand ? 3 : 1,
    labels: { place: index % 2 === 0 ? "new" : "old" },
    checksFencing: index % 2 === 0,
    entries,
    sharedSecret,
    announceInterval: 500,
    engine: {
      slots: 16,
      prefillRate: 5000,
      decodeInterval: 20,
      transferRate: 20_000,
      cacheBlocks: 512,
      salt: "demo",
      ...plan.engine,
    },
  };
}

function formatSections(sections: Sections): string {
  return Object.entries(sections).map(([name, pairs]) =>
    `[${name}]\n${formatPairs(pairs)}\n`
  ).join("");
}

function formatPairs(
  pairs: Readonly<Record<string, string | number>>,
): string {
  return Object.entries(pairs).map(([key, value]) => `${key} = ${value}\n`)
    .join("");
}
