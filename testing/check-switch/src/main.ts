/** Runs one scenario of the exhaustive check and prints the result as JSON. */

import { parseArgs } from "node:util";
import { checkSwitch } from "./scenarios.ts";
import type { ScenarioName } from "./scenarios.ts";

const SCENARIOS: readonly ScenarioName[] = ["handOver", "rivals", "promised"];

function main(): number {
  const { values } = parseArgs({
    options: {
      scenario: { type: "string", default: "handOver" },
      replacements: { type: "string", default: "1" },
      changes: { type: "string", default: "0" },
      "max-states": { type: "string", default: "2000000" },
    },
  });
  const scenario = SCENARIOS.find((name) => name === values.scenario);
  const replacements = Number(values.replacements);
  const changes = Number(values.changes);
  const maxStates = Number(values["max-states"]);
  const counts = [replacements, changes, maxStates];
  if (scenario === undefined || !counts.every(Number.isSafeInteger)) {
    console.error(
      `--scenario must be one of ${SCENARIOS}; the other options take integers`,
    );
    return 2;
  }
  const options = { scenario, replacements, changes, maxStates };
  const startedMs = performance.now();
  const result = checkSwitch(options);
  const elapsedMs = Math.round(performance.now() - startedMs);
  console.log(JSON.stringify({ ...options, ...result, elapsedMs }));
  return result.violation === undefined ? 0 : 1;
}

process.exitCode = main();
