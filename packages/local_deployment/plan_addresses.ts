import type { DeploymentPlan } from "./deployment_plan.ts";

/** A process that peers connect to. */
type PlannedPeer = {
  readonly name: string;
  readonly zone: string;
  readonly peerAddress: string;
  /** Address that peers use: the relay's where there is one. */
  readonly advertisedAddress: string;
  /** Operator or caller address. */
  readonly serviceAddress: string;
};

/** A planned upstream. */
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
/** Each control replica and entry has a loopback address of its own. */
const CONTROL_HOSTS = "127.0.1.";
const ENTRY_HOSTS = "127.0.2.";
const CONTROL_RELAYS = "127.0.3.";
const ENTRY_RELAYS = "127.0.4.";
const UPSTREAM_PORTS = 100;

/** Plans the addresses of a local deployment. @internal */
export function planAddresses(plan: DeploymentPlan): AddressPlan {
  return {
    controls: numbersUpTo(plan.controls).map((number) =>
      planPeer(plan, {
        name: `control-${number}`,
        number,
        hostPrefix: CONTROL_HOSTS,
        relayPrefix: CONTROL_RELAYS,
      })
    ),
    entries: numbersUpTo(plan.entries).map((number) =>
      planPeer(plan, {
        name: `entry-${number}`,
        number,
        hostPrefix: ENTRY_HOSTS,
        relayPrefix: ENTRY_RELAYS,
      })
    ),
    upstreams: [
      ...numbersUpTo(plan.engines).map((number) => ({
        name: `engine-${number}`,
        zone: zoneOf(number),
        address: `127.0.0.1:${plan.firstPort + UPSTREAM_PORTS + number}`,
        isEngine: true,
      })),
      ...numbersUpTo(plan.services).map((number) => ({
        name: `booking-${number}`,
        zone: zoneOf(number),
        address: `127.0.0.1:${plan.firstPort + 2 * UPSTREAM_PORTS + number}`,
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
    hostPrefix: string;
    relayPrefix: string;
  },
): PlannedPeer {
  const { name, number, hostPrefix, relayPrefix } = options;
  const host = `${hostPrefix}${number}`;
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

function numbersUpTo(max: number): number[] {
  return Array.from({ length: max }, (_, number) => number + 1);
}

function zoneOf(number: number): string {
  return ZONES[(number - 1) % ZONES.length]!;
}
