/** Runs the site soak and prints its summary as JSON. */

import { parseArgs } from "node:util";
import { runSiteSoak } from "./run_site_soak.ts";

const { values } = parseArgs({
  options: {
    seconds: { type: "string", default: "60" },
    seed: { type: "string", default: "1" },
    logs: { type: "string" },
  },
});
const [durationS, seed] = [Number(values.seconds), Number(values.seed)];
if (!(durationS > 0) || !Number.isSafeInteger(seed)) {
  console.error(
    "--seconds must be greater than 0, and --seed must be an integer",
  );
  process.exit(2);
}
const summary = await runSiteSoak({
  durationMs: durationS * 1_000,
  seed,
  logDirectory: values.logs,
});
console.log(JSON.stringify(summary, undefined, 2));
process.exitCode = summary.violations.length > 0 ? 1 : 0;
