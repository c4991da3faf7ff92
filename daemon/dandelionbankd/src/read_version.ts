/** Reads the version from the package's manifest. */

import { readFileSync } from "node:fs";

export function readVersion(): string {
  const url = new URL("../package.json", import.meta.url);
  const manifest = JSON.parse(readFileSync(url, "utf8")) as {
    readonly version: string;
  };
  return manifest.version;
}
