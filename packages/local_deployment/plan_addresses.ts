import type { DeploymentPlan } from "./deployment_plan.ts";

/** A process that peers connect to. */
type PlannedPeer = {
  readonly name: string;
  readonly zone: string;
  readonly peer: string;
  /** Address that peers use: the relay's where there is one. */
  readonly advertised: string;
  /** Operator or caller address. */
  readonly served: string;
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
    controls: count(plan.controls).map((place) =>
      planPeer(plan, {
        name: `control-${place}`,
        place,
        hosts: CONTROL_HOSTS,
        relays: CONTROL_RELAYS,
      })
    ),
    entries: count(plan.entries).map((place) =>
      planPeer(plan, {
        name: `entry-${place}`,
        place,
        hosts: ENTRY_HOSTS,
        relays: ENTRY_RELAYS,
      })
    ),
    upstreams: [
      ...count(plan.engines).map((place) => ({
        name: `engine-${place}`,
        zone: zoneOf(place),
        address: `127.0.0.1:${plan.firstPort + UPSTREAM_PORTS + place}`,
        isEngine: true,
      })),
      ...count(plan.services).map((place) => ({
        name: `booking-${place}`,
        zone: zoneOf(place),
        address: `127.0.0.1:${plan.firstPort + 2 * UPSTREAM_PORTS + place}`,
        isEngine: false,
      })),
    ],
  };
}

function planPeer(
  plan: DeploymentPlan,
  options: { name: string; place: number; hosts: string; relays: string },
): PlannedPeer {
  const { name, place, hosts, relays } = options;
  const host = `${hosts}${place}`;
  const peer = `${host}:${plan.firstPort}`;
  return {
    name,
    zone: zoneOf(place),
    peer,
    advertised: plan.relayed ? `${relays}${place}:${plan.firstPort}` : peer,
    served: `${host}:${plan.firstPort + 1}`,
  };
}

function count(most: number): number[] {
  return Array.from({ length: most }, (_, place) => place + 1);
}

function zoneOf(place: number): string {
  return ZONES[(place - 1) % ZONES.length]!;
}
