/**
 * Reads the workspace's packages: their folder, manifest and layer.
 *
 * A package states its layer in `package.json` under `dandelionbank.layer`:
 * `core` (pure: no socket, file, timer, clock or random source), `io`
 * (everything that reaches outside the process) or `testing`.
 */

import { existsSync, readdirSync, readFileSync } from "node:fs";
import { dirname, join, relative } from "node:path";
import { fileURLToPath } from "node:url";

export const ROOT = dirname(dirname(fileURLToPath(import.meta.url)));

/** Every package of the workspace, sorted by folder. */
export function readPackages() {
  const manifest = readJson(join(ROOT, "package.json"));
  return manifest.workspaces
    .flatMap((glob) => listPackageFolders(glob.replace(/\/\*$/, "")))
    .sort()
    .map(readPackage);
}

/** Every file below `folder` whose name ends in `ending`. */
export function listFiles(folder, ending) {
  if (!existsSync(folder)) return [];
  return readdirSync(folder, { withFileTypes: true }).flatMap((entry) => {
    const path = join(folder, entry.name);
    if (entry.name === "node_modules") return [];
    if (entry.isDirectory()) return listFiles(path, ending);
    return entry.name.endsWith(ending) ? [path] : [];
  });
}

export function readJson(path) {
  return JSON.parse(readFileSync(path, "utf8"));
}

function listPackageFolders(group) {
  const path = join(ROOT, group);
  if (!existsSync(path)) return [];
  return readdirSync(path, { withFileTypes: true })
    .filter((entry) => existsSync(join(path, entry.name, "package.json")))
    .map((entry) => join(path, entry.name));
}

function readPackage(folder) {
  const manifest = readJson(join(folder, "package.json"));
  return {
    folder,
    path: relative(ROOT, folder),
    name: manifest.name,
    manifest,
    layer: manifest.dandelionbank?.layer,
    dependencies: Object.keys(manifest.dependencies ?? {}),
  };
}
