import type { DeploymentPlan } from "./deployment_plan.ts";

/** A process that peers connect to. */
type PlannedPeer = {
  readonly name: string;
  readonly zone: string;
  readonly peerAddress: string;
  /** Address that peers connect to: the relay if there is one. */
  readonly advertisedAddress: string;
  /** Operator or caller address. */
  readonly serviceAddress: string;
};

type PlannedUpstream = {
  readonly name: string;
  readonly zone: string;
  readonly address: string;
  readonly isEngine: boolean;
};

/** Names, zones and addresses of all processes. */
type AddressPlan = {
  readonly controls: readonly PlannedPeer[];
  readonly entries: readonly PlannedPeer[];
  readonly upstreams: readonly PlannedUpstream[];
};

const ZONES = ["zone-a", "zone-b", "zone-c", "zone-d"] as const;
/** Prefixes of loopback addresses; each process has its own address. */
const CONTROL_HOST_PREFIX = "127.0.1.";
const ENTRY_HOST_PREFIX = "127.0.2.";
const CONTROL_RELAY_PREFIX = "127.0.3.";
const ENTRY_RELAY_PREFIX = "127.0.4.";
const UPSTREAM_HOST = "127.0.0.1";
const UPSTREAM_PORT_OFFSET = 100;

/** Plans the addresses of a local deployment. @internal */
export function planAddresses(plan: DeploymentPlan): AddressPlan {
  return {
    controls: numbersUpTo(plan.controls).map((number) =>
      planPeer(plan, {
        name: `control-${number}`,
        number,
        host: plan.hostOf?.("control", number) ??
          `${CONTROL_HOST_PREFIX}${number}`,
        relayPrefix: CONTROL_RELAY_PREFIX,
      })
    ),
    entries: numbersUpTo(plan.entries).map((number) =>
      planPeer(plan, {
        name: `entry-${number}`,
        number,
        host: plan.hostOf?.("entry", number) ?? `${ENTRY_HOST_PREFIX}${number}`,
        relayPrefix: ENTRY_RELAY_PREFIX,
      })
    ),
    upstreams: [
      ...numbersUpTo(plan.engines).map((number) => ({
        name: `engine-${number}`,
        zone: zoneOf(number),
        address: `${upstreamHost(plan, number)}:${
          plan.firstPort + UPSTREAM_PORT_OFFSET + number
        }`,
        isEngine: true,
      })),
      ...numbersUpTo(plan.services).map((number) => ({
        name: `booking-${number}`,
        zone: zoneOf(number),
        address: `${upstreamHost(plan, number)}:${
          plan.firstPort + 2 * UPSTREAM_PORT_OFFSET + number
        }`,
        isEngine: false,
      })),
    ],
  };
}

function planPeer(
  plan: DeploymentPlan,
  options: {
    name: string;
    number: number;
    host: string;
    relayPrefix: string;
  },
): PlannedPeer {
  const { name, number, host, relayPrefix } = options;
  const peerAddress = `${host}:${plan.firstPort}`;
  return {
    name,
    zone: zoneOf(number),
    peerAddress,
    advertisedAddress: plan.usesRelays
      ? `${relayPrefix}${number}:${plan.firstPort}`
      : peerAddress,
    serviceAddress: `${host}:${plan.firstPort + 1}`,
  };
}

function upstreamHost(plan: DeploymentPlan, number: number): string {
  return plan.hostOf?.("upstream", number) ?? UPSTREAM_HOST;
}

function numbersUpTo(max: number): number[] {
  return Array.from({ length: max }, (_, number) => number + 1);
}

function zoneOf(number: number): string {
  return ZONES[(number - 1) % ZONES.length]!;
}
