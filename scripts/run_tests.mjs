/**
 * Runs every compiled test with Node's test runner. Arguments, if any, are
 * parts of paths: only tests whose path contains one of them run.
 */

import { spawnSync } from "node:child_process";
import { join } from "node:path";
import { listFiles, readPackages } from "./workspace.mjs";

/** A file that hangs fails instead of holding up the run. */
const FILE_TIMEOUT_MS = 180_000;

const wanted = process.argv.slice(2);
const files = readPackages()
  .flatMap((pkg) => listFiles(join(pkg.folder, "src"), "_test.ts"))
  .filter((file) => wanted.length === 0 || wanted.some((w) => file.includes(w)))
  .map((file) => file.replace(/\/src\//, "/dist/").replace(/\.ts$/, ".js"));

if (files.length === 0) {
  console.error("No test found");
  process.exit(1);
}
const reporter = process.env.CI ? "spec" : "dot";
const run = spawnSync(
  process.execPath,
  [
    "--test",
    `--test-reporter=${reporter}`,
    "--test-reporter-destination=stdout",
    "--test-reporter=./scripts/count_reporter.mjs",
    "--test-reporter-destination=stdout",
    "--test-concurrency=6",
    `--test-timeout=${FILE_TIMEOUT_MS}`,
    ...files,
  ],
  { stdio: "inherit" },
);
process.exit(run.status ?? 1);
