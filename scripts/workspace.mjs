/**
 * Lists the packages of the workspace with their folder, manifest and layer.
 *
 * A package declares its layer in `package.json` as `dandelionbank.layer`: `core`
 * (pure code without sockets, files, timers, clocks and random sources), `io`
 * (code that may use them) or `testing`.
 */

import { existsSync, readdirSync, readFileSync } from "node:fs";
import { dirname, join, relative } from "node:path";
import { fileURLToPath } from "node:url";

export const ROOT = dirname(dirname(fileURLToPath(import.meta.url)));

/** Returns all packages of the workspace, sorted by folder. */
export function readPackages() {
  const manifest = readJson(join(ROOT, "package.json"));
  return manifest.workspaces
    .flatMap((glob) => listPackageFolders(glob.replace(/\/\*$/, "")))
    .sort()
    .map(readPackage);
}

/** Returns all files below `folder` whose names end with `suffix`. */
export function listFiles(folder, suffix) {
  if (!existsSync(folder)) return [];
  return readdirSync(folder, { withFileTypes: true }).flatMap((entry) => {
    const path = join(folder, entry.name);
    if (entry.name === "node_modules") return [];
    if (entry.isDirectory()) return listFiles(path, suffix);
    return entry.name.endsWith(suffix) ? [path] : [];
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
