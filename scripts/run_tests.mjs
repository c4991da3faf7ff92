/**
 * Runs the compiled tests with the test runner of Node.js. If arguments are given,
 * only the tests whose path contains one of them run.
 */

import { spawnSync } from "node:child_process";
import { existsSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { listFiles, readPackages } from "./workspace.mjs";

const KNOWN_RED_FILE = "KNOWN-RED.txt";
/** Limits the time of one file, so that a test that hangs fails. */
const FILE_TIMEOUT_MS = 180_000;

const filters = process.argv.slice(2);
const files = readPackages()
  .flatMap((pkg) => listFiles(join(pkg.folder, "src"), "_test.ts"))
  .filter((file) =>
    filters.length === 0 || filters.some((filter) => file.includes(filter))
  )
  .map((file) => file.replace(/\/src\//, "/dist/").replace(/\.ts$/, ".js"));

if (files.length === 0) {
  console.error("No test found");
  process.exit(1);
}
const reporter = process.env.CI ? "spec" : "dot";

/** These tests start many processes each, so they run one file at a time. */
const SITE_TESTS = "/testing/site-tests/";
const sequential = files.filter((file) => file.includes(SITE_TESTS));
const parallel = files.filter((file) => !file.includes(SITE_TESTS));
const knownRedTests = readKnownRedTests();
const statuses = [
  runFiles(parallel, { concurrency: 6 }),
  runFiles(sequential, { concurrency: 1 }),
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
      ...createNameFilter(knownRedTests),
      ...paths,
    ],
    { stdio: "inherit" },
  );
  return run.status ?? 1;
}

/** Reads the names of tests that fail for a known reason, in lines `test: NAME`. */
function readKnownRedTests() {
  if (!existsSync(KNOWN_RED_FILE)) return [];
  return readFileSync(KNOWN_RED_FILE, "utf8")
    .split("\n")
    .flatMap((line) => /^test: (.+)$/.exec(line)?.[1] ?? []);
}

/** Creates the argument that runs all tests but those with these names. */
function createNameFilter(names) {
  if (names.length === 0) return [];
  const patterns = names.map((name) =>
    name.replace(/[.*+?^${}()|[\]\\]/g, "\\$&")
  );
  // `<root>` is the parent of all tests: if it matches, every test runs.
  return [`--test-name-pattern=^(?!(?:<root>|${patterns.join("|")})$)`];
}
