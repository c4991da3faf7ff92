/** Runs the soak that is named on the command line and prints its summary as JSON. */

import { parseArgs } from "node:util";
import { SOAKS } from "./registry.ts";
import { runSoak } from "./soak.ts";

const MAX_PRINTED_VIOLATIONS = 20;

function main(): number {
  const { positionals, values } = parseArgs({
    allowPositionals: true,
    options: {
      runs: { type: "string", default: "1000" },
      seed: { type: "string", default: "1" },
      run: { type: "string" },
    },
  });
  const soak = SOAKS.find(({ name }) => name === positionals[0]);
  if (soak === undefined) {
    const names = SOAKS.map(({ name }) => name).join(", ");
    console.error(
      `Usage: npm run soak -- NAME, where NAME is one of: ${names}`,
    );
    return 2;
  }
  let violationCount = 0;
  const summary = runSoak(soak, {
    seed: parseInteger("seed", values.seed),
    runs: parseInteger("runs", values.runs),
    onlyRun: values.run === undefined
      ? undefined
      : parseInteger("run", values.run),
    onViolation: ({ run, violation, replay }) => {
      violationCount += 1;
      if (violationCount > MAX_PRINTED_VIOLATIONS) return;
      console.error(`Run ${run}: ${violation}\n  Replay: ${replay}`);
    },
  });
  console.log(JSON.stringify(summary));
  return summary.violations > 0 ? 1 : 0;
}

function parseInteger(name: string, text: string): number {
  const value = Number(text);
  if (Number.isSafeInteger(value) && value >= 0) return value;
  console.error(`--${name} must be a non-negative integer, got ${text}`);
  process.exit(2);
}

process.exitCode = main();
