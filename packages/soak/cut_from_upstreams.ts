import type { Random } from "@heroncleat/base";
import type { LinkProxy } from "./link_proxy.ts";
import { randomDuration } from "./random_duration.ts";
import { pause } from "./pause.ts";
import type { SoakDeployment } from "./soak_deployment.ts";

const CUT_DURATION_MS = { min: 4000, spread: 6000 };
/** Interval at which upstreams that were added are cut off too. */
const POLL_INTERVAL_MS = 50;
/** How the links fail: packets get lost, or connections are refused. */
const MANNERS = ["silent", "reset", "new_refused"] as const;
/** Share of the cuts that affect all entries. */
const ALL_SHARE = 0.15;
/** Share of the cuts that affect a whole zone. */
const ZONE_SHARE = 0.35;

/**
 * Cuts entries off from all upstreams: some, those of a zone, or all. They stay
 * in touch with each other, the control replicas and callers.
 */
export async function cutFromUpstreams(
  deployment: SoakDeployment,
  random: Random,
): Promise<void> {
  const entries = pickHosts(deployment, random);
  const manner = MANNERS[Math.floor(random() * MANNERS.length)]!;
  const { proxy } = deployment;
  const upstreams = new Set<string>();
  const cutNewUpstreams = () => {
    for (const upstream of deployment.upstreamHosts()) {
      if (!upstreams.has(upstream)) {
        upstreams.add(upstream);
        entries.forEach((entry) => cutLink(proxy, { entry, upstream, manner }));
      }
    }
  };
  const ends = entries.map((host) => deployment.beginLinkDisturbance(host));
  const endCheck = deployment.checks.cuts.begin(entries);
  const endsAt = performance.now() + randomDuration(random, CUT_DURATION_MS);
  while (performance.now() < endsAt) {
    cutNewUpstreams();
    await pause(POLL_INTERVAL_MS);
  }
  endCheck();
  for (const upstream of upstreams) {
    for (const entry of entries) {
      proxy.accept(entry, upstream);
      proxy.heal(entry, upstream);
      proxy.heal(upstream, entry);
    }
  }
  ends.forEach((end) => end());
}

function cutLink(
  proxy: LinkProxy,
  { entry, upstream, manner }: {
    entry: string;
    upstream: string;
    manner: typeof MANNERS[number];
  },
): void {
  if (manner === "silent") {
    proxy.partition(entry, upstream);
    proxy.partition(upstream, entry);
  } else {
    proxy.refuse(entry, upstream);
  }
  if (manner === "reset") {
    proxy.resetBetween(entry, upstream);
  }
}

function pickHosts(deployment: SoakDeployment, random: Random): string[] {
  const machines = deployment.activeMachines();
  const scope = random();
  const zone = deployment.zones[Math.floor(random() * deployment.zones.length)];
  const share = random();
  const chosen = machines.filter((machine) => {
    if (scope < ALL_SHARE) {
      return true;
    }
    return scope < ALL_SHARE + ZONE_SHARE
      ? machine.zone === zone
      : random() < share;
  });
  return chosen.map(({ host }) => host);
}
