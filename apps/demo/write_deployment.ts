import { mkdirSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { createToken } from "@heroncleat/base";
import type { StandInSettings } from "@heroncleat/stand_ins";
import type { Deployment } from "./deployment.ts";

/** Sizes of a local deployment. */
type DeploymentSizes = {
  readonly folder: string;
  /** First of the ports that the deployment takes. */
  readonly firstPort: number;
  readonly controls: number;
  readonly entries: number;
  readonly engines: number;
  readonly services: number;
};

const ZONES = ["zone-a", "zone-b", "zone-c", "zone-d"] as const;
const PRIVATE = 0o600;
const PORTS_PER_KIND = 20;

/** Writes the settings, keys and secrets of a deployment on loopback. */
export function writeDeployment(sizes: DeploymentSizes): Deployment {
  const { folder } = sizes;
  mkdirSync(folder, { recursive: true });
  const sharedSecret = createToken();
  const callerKey = createToken();
  const operatorToken = createToken();
  const write = (name: string, text: string) => {
    writeFileSync(join(folder, name), text, { mode: PRIVATE });
    return join(folder, name);
  };
  const secretFile = write("shared_secret", `${sharedSecret}\n`);
  const callersFile = write("callers.ini", `bistro = ${callerKey}\n`);
  const operatorsFile = write("operators.ini", `demo = ${operatorToken}\n`);
  const tokenFile = write("operator_token", `${operatorToken}\n`);
  const security = [
    "[security]",
    `shared_secret_file = ${secretFile}`,
    `caller_keys_file = ${callersFile}`,
    `operator_tokens_file = ${operatorsFile}`,
    "",
  ].join("\n");
  const plan = planAddresses(sizes);
  return {
    folder,
    callerKey,
    tokenFile,
    controls: plan.controls.map((control, place) => ({
      name: control.name,
      operatorAddress: control.operator,
      settingsFile: write(
        `${control.name}.ini`,
        controlSettings(plan, { place, folder }) + security,
      ),
    })),
    entries: plan.entries.map((entry, place) => ({
      name: entry.name,
      callerAddress: entry.caller,
      settingsFile: write(
        `${entry.name}.ini`,
        entrySettings(plan, place) + security,
      ),
    })),
    upstreams: plan.upstreams.map((upstream, place) => ({
      name: upstream.name,
      settingsFile: write(
        `${upstream.name}.json`,
        JSON.stringify(
          upstreamSettings(plan, { place, sharedSecret }),
          null,
          2,
        ),
      ),
    })),
  };
}

/** Names, zones and addresses of all processes. */
type AddressPlan = {
  readonly controls: readonly {
    name: string;
    peer: string;
    operator: string;
  }[];
  readonly entries: readonly { name: string; peer: string; caller: string }[];
  readonly upstreams: readonly {
    name: string;
    address: string;
    isEngine: boolean;
  }[];
};

function planAddresses(sizes: DeploymentSizes): AddressPlan {
  const address = (kind: number, place: number) =>
    `127.0.0.1:${sizes.firstPort + kind * PORTS_PER_KIND + place}`;
  const count = (most: number) => Array.from({ length: most }, (_, n) => n);
  const engines = count(sizes.engines).map((place) => ({
    name: `engine-${place + 1}`,
    address: address(4, place),
    isEngine: true,
  }));
  const services = count(sizes.services).map((place) => ({
    name: `booking-${place + 1}`,
    address: address(5, place),
    isEngine: false,
  }));
  return {
    controls: count(sizes.controls).map((place) => ({
      name: `control-${place + 1}`,
      peer: address(0, place),
      operator: address(1, place),
    })),
    entries: count(sizes.entries).map((place) => ({
      name: `entry-${place + 1}`,
      peer: address(2, place),
      caller: address(3, place),
    })),
    upstreams: [...engines, ...services],
  };
}

function zoneOf(place: number): string {
  return ZONES[place % ZONES.length]!;
}

function controlSettings(
  plan: AddressPlan,
  options: { place: number; folder: string },
): string {
  const self = plan.controls[options.place]!;
  return [
    "[daemon]",
    `name = ${self.name}`,
    "roles = control",
    `zone = ${zoneOf(options.place)}`,
    `peer_address = ${self.peer}`,
    "",
    "[control]",
    `operator_address = ${self.operator}`,
    `data_folder = ${join(options.folder, "data", self.name)}`,
    `replicas = ${plan.controls.map((control) => control.peer).join(", ")}`,
    `entries = ${plan.entries.map((entry) => entry.peer).join(", ")}`,
    "",
    "",
  ].join("\n");
}

function entrySettings(plan: AddressPlan, place: number): string {
  const self = plan.entries[place]!;
  const seeds = plan.entries.slice(0, 3).map((entry) => entry.peer);
  return [
    "[daemon]",
    `name = ${self.name}`,
    "roles = entry",
    `zone = ${zoneOf(place)}`,
    `peer_address = ${self.peer}`,
    "",
    "[entry]",
    `caller_address = ${self.caller}`,
    `seeds = ${seeds.join(", ")}`,
    `control = ${plan.controls.map((control) => control.peer).join(", ")}`,
    "",
    "",
  ].join("\n");
}

function upstreamSettings(
  plan: AddressPlan,
  options: { place: number; sharedSecret: string },
): StandInSettings {
  const self = plan.upstreams[options.place]!;
  return {
    name: self.name,
    address: self.address,
    kind: self.isEngine ? "model_engine" : "plain_service",
    service: self.isEngine ? "" : "booking",
    models: self.isEngine ? ["assistant"] : [],
    zone: zoneOf(options.place),
    vmClass: options.place === 0 ? "on_demand" : "reclaimable",
    price: options.place === 0 ? 3 : 1,
    labels: { place: options.place % 2 === 0 ? "new" : "old" },
    checksFencing: options.place % 2 === 0,
    entries: plan.entries.slice(0, 4).map((entry) => entry.caller),
    sharedSecret: options.sharedSecret,
    announceInterval: 500,
    engine: {
      slots: 16,
      prefillRate: 5000,
      decodeInterval: 20,
      transferRate: 20_000,
      cacheBlocks: 512,
      salt: "demo",
    },
  };
}
