/**
 * Bundles the daemon (`platform/main.ts`) and the program that runs it with a
 * code cache (`platform/run_bundle.ts`), directly from the TypeScript sources of
 * the workspace packages.
 */
import { existsSync } from "node:fs";
import { join } from "node:path";
import { build } from "esbuild";
import { writeCodeCache } from "./write_code_cache.mjs";

const ROOT = join(import.meta.dirname, "..");

const workspaceSources = {
  name: "workspace-sources",
  setup(bundler) {
    bundler.onResolve({ filter: /^@heroncleat\// }, ({ path }) => {
      const name = path.slice("@heroncleat/".length);
      for (const folder of ["packages", "apps"]) {
        const file = join(ROOT, folder, name, "mod.ts");
        if (existsSync(file)) {
          return { path: file };
        }
      }
    });
  },
};

/**
 * Parts of prom-client that the daemon doesn't use. They load Node.js' modules
 * for TLS and for clusters at each start.
 */
const unusedModules = {
  name: "unused-modules",
  setup(bundler) {
    bundler.onResolve(
      { filter: /^\.\/lib\/(pushgateway|cluster)$/ },
      ({ path, importer }) =>
        importer.includes("prom-client")
          ? { path, namespace: "unused-modules" }
          : undefined,
    );
    bundler.onLoad(
      { filter: /.*/, namespace: "unused-modules" },
      () => ({ contents: "", loader: "js" }),
    );
  },
};

await build({
  absWorkingDir: ROOT,
  entryPoints: {
    heroncleat: "platform/run_bundle.ts",
    heroncleat_daemon: "platform/main.ts",
  },
  outdir: "target",
  outExtension: { ".js": ".cjs" },
  bundle: true,
  platform: "node",
  target: "node20",
  format: "cjs",
  minifySyntax: true,
  plugins: [workspaceSources, unusedModules],
  external: ["unix-dgram"],
  // The UMD build requires its modules at run time, which a bundle can't resolve.
  alias: { "jsonc-parser": "jsonc-parser/lib/esm/main.js" },
});
writeCodeCache(ROOT);
