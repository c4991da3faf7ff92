/**
 * Bundles the program that runs on the platform's VMs into one file, which starts
 * faster than some hundred modules. It reads the sources of the packages, so no
 * other build step is needed.
 */

import { build } from "esbuild";
import { readFileSync } from "node:fs";
import { join } from "node:path";
import { readJson, readPackages, ROOT } from "./workspace.mjs";

const PROGRAM = join(ROOT, "daemon/platform-node/src/main.ts");
const OUTPUT = join(ROOT, "target/dandelionbank.cjs");
const { version } = readJson(join(ROOT, "package.json"));

await build({
  entryPoints: [PROGRAM],
  outfile: OUTPUT,
  bundle: true,
  platform: "node",
  target: "node20",
  format: "cjs",
  minifySyntax: true,
  legalComments: "none",
  logLevel: "warning",
  define: { DANDELIONBANK_VERSION: JSON.stringify(version) },
  plugins: [resolveToSources(), bundleRequiredModules()],
});

/** Resolves packages of the workspace to their sources. */
function resolveToSources() {
  const folders = new Map(readPackages().map((pkg) => [pkg.name, pkg.folder]));
  return {
    name: "resolve-to-sources",
    setup({ onResolve }) {
      onResolve({ filter: /^@dandelionbank\// }, ({ path }) => ({
        path: join(folders.get(path), "src/mod.ts"),
      }));
    },
  };
}

/**
 * Replaces `createRequire` in `prom_client.ts`, which would load modules from
 * outside the bundle, by the `require` that the bundler resolves.
 */
function bundleRequiredModules() {
  return {
    name: "bundle-required",
    setup({ onLoad }) {
      onLoad({ filter: /prom_client\.ts$/ }, ({ path }) => ({
        loader: "ts",
        contents: readFileSync(path, "utf8")
          .replace(/^import \{ createRequire \}.*$/m, "")
          .replace(/^const require = createRequire.*$/m, ""),
      }));
    },
  };
}
