/**
 * Settings with which the bundle starts alone on loopback.
 *
 * @param host Loopback address to listen on.
 * @param dataDir Folder of the control replica.
 */
export function createBundleSettings(host, dataDir) {
  return {
    nodeName: "edge-a-1",
    ip: host,
    zone: "a",
    region: "r",
    listen: {
      frontend: `${host}:8221`,
      readiness: `${host}:8224`,
      controlPlane: `${host}:8229`,
      registryAddress: `${host}:8220`,
    },
    internalPortRange: [7600, 7615],
    seedNodes: [`${host}:8229`],
    bootstrap: true,
    dataDir,
    bounds: {},
  };
}
