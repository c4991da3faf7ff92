/** Runs one soak by its name and prints what it added up to. */

import { parseArgs } from "node:util";
import { SOAKS } from "./registry.ts";
import { runSoak } from "./soak.ts";

const MAX_SHOWN_VIOLATIONS = 20;

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
    console.error(`Name one soak of: ${names}`);
    return 2;
  }
  let shown = 0;
  const summary = runSoak(soak, {
    seed: readCount("seed", values.seed),
    runs: readCount("runs", values.runs),
    onlyRun: values.run === undefined
      ? undefined
      : readCount("run", values.run),
    onViolation: ({ run, violation, replay }) => {
      shown += 1;
      if (shown > MAX_SHOWN_VIOLATIONS) return;
      console.error(`Run ${run}: ${violation}\n  Replay: ${replay}`);
    },
  });
  console.log(JSON.stringify(summary));
  return summary.violations > 0 ? 1 : 0;
}

function readCount(name: string, text: string): number {
  const value = Number(text);
  if (Number.isSafeInteger(value) && value >= 0) return value;
  console.error(`--${name} must be a whole number, got ${text}`);
  process.exit(2);
}

process.exitCode = main();
