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

/** These start many processes each, so they run one at a time. */
const SITE_TESTS = "/testing/site-tests/";
const alone = files.filter((file) => file.includes(SITE_TESTS));
const together = files.filter((file) => !file.includes(SITE_TESTS));
const statuses = [
  runFiles(together, { concurrency: 6 }),
  runFiles(alone, { concurrency: 1 }),
];
process.exit(Math.max(...statuses));

function runFiles(paths, { concurrency }) {
  if (paths.length === 0) return 0;
  const run = spawnSync(
    process.execPath,
    [
      "--test",
      `--test-reporter=${reporter}`,
      "--test-reporter-destination=stdout",
      "--test-reporter=./scripts/count_reporter.mjs",
      "--test-reporter-destination=stdout",
      `--test-concurrency=${concurrency}`,
      `--test-timeout=${FILE_TIMEOUT_MS}`,
      ...paths,
    ],
    { stdio: "inherit" },
  );
  return run.status ?? 1;
}
