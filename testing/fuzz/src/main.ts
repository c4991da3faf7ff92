/** Fuzzes the decoder that is named on the command line, or all of them. */

import process from "node:process";
import { parseArgs } from "node:util";
import { FUZZ_TARGETS } from "./registry.ts";

function main(): number {
  const { positionals, values } = parseArgs({
    allowPositionals: true,
    options: {
      runs: { type: "string", default: "100000" },
      seed: { type: "string", default: "1" },
    },
  });
  const [runs, seed] = [Number(values.runs), Number(values.seed)];
  const targets = FUZZ_TARGETS.filter(({ name }) =>
    positionals[0] === "all" || positionals[0] === name
  );
  if (
    targets.length === 0 || !Number.isSafeInteger(seed) ||
    !Number.isSafeInteger(runs) || runs < 1
  ) {
    const names = FUZZ_TARGETS.map(({ name }) => name).join(", ");
    console.error(
      `Usage: npm run fuzz -- NAME [--runs N] [--seed N], where NAME is all or one of: ${names}`,
    );
    return 2;
  }
  let failures = 0;
  for (const target of targets) {
    try {
      target.run({ runs, seed });
      console.log(`${target.name}: ${runs} runs passed`);
    } catch (error) {
      failures += 1;
      console.error(`${target.name}: ${String(error)}`);
    }
  }
  return failures > 0 ? 1 : 0;
}

process.exitCode = main();
