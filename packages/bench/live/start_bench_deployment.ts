import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import {
  type ProcessScripts,
  startDeployment,
  writeDeployment,
} from "@heroncleat/local_deployment";
import { PeerPool } from "@heroncleat/transport";
import type { BenchDeployment } from "./bench_deployment.ts";

const FIRST_PORT = 31_000;
const CONNECT_TIMEOUT_MS = 1000;

/**
 * Starts 3 control replicas, 12 entries, 4 model engines and a plain service.
 */
export async function startBenchDeployment(
  scripts: ProcessScripts,
): Promise<BenchDeployment> {
  const folder = mkdtempSync(join(tmpdir(), "heroncleat-bench-"));
  const deployment = writeDeployment({
    folder,
    firstPort: FIRST_PORT,
    controls: 3,
    entries: 12,
    engines: 4,
    services: 1,
    engine: { slots: 512, prefillRate: 1e6, decodeInterval: 20 },
  });
  const processes = await startDeployment(deployment, scripts);
  const pool = new PeerPool({
    secret: deployment.sharedSecret,
    connectTimeout: CONNECT_TIMEOUT_MS,
    localHost: "",
  });
  return {
    deployment,
    processes,
    pool,
    stop: () => {
      pool.close();
      processes.kill();
      rmSync(folder, { recursive: true, force: true });
    },
  };
}
