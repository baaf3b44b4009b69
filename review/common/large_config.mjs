import { createConfig } from "./harness.mjs";

function createRoute(index, version) {
  return {
    name: `r-${String(index).padStart(7, "0")}`,
    hostname: "ficu95.example",
    pathPrefix: `/p${String(index).padStart(6, "0")}/`,
    routeType: "streaming",
    timeoutMs: index === 0 ? 15_000 + version : 15_000,
    targetLatencyMs: 1000,
    priority: 0,
    weightedServices: [
      { service: "huvo11a", weight: 90 },
      { service: "wuno96b", weight: 10 },
    ],
    maxAttempts: 2,
    public: false,
    sticky: true,
    resumable: true,
    targetItlMs: 500,
  };
}

/** A configuration whose routes look like the example of PROTOCOL.md. */
export function createLargeConfig(version, count) {
  return createConfig(version, {
    routes: Array.from(
      { length: count },
      (_, index) => createRoute(index, version),
    ),
    services: ["huvo11a", "wuno96b"].map((name) => ({
      name,
      healthPath: "/healthz",
      maxConnections: 390,
      protocol: "h1",
      tls: false,
    })),
  });
}
